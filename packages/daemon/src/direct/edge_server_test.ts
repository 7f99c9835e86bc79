import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../manual_clock_fixture.js";
import { type EdgeCall, EdgeServer } from "./edge_server.js";

/** More than the operating system takes for a caller that does not read. */
const BODY = Buffer.alloc(32 * 1024 * 1024);

const CALLERS = 20;

const MAX_ACCEPT_MS = 1000;

const GET = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/** Clock that goes on by a millisecond whenever it is read. */
class SteppingClock extends ManualClock {
  override nowMs(): number {
    return this.timeMs++;
  }
}

describe("EdgeServer", () => {
  let server: EdgeServer;
  let caller: Socket;
  let calls: EdgeCall[];
  let clock: SteppingClock;
  let port: number;

  beforeEach(async () => {
    clock = new SteppingClock();
    server = new EdgeServer(clock);
    calls = [];
    server.onCall((call) => calls.push(call));
    port = await server.listen("127.0.0.1", 0);
    caller = connect(port, "127.0.0.1");
    await once(caller, "connect");
  });

  afterEach(() => {
    caller.destroy();
    server.dispose();
  });

  async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
      await sleep(5);
    }
  }

  // Guards against a stop that resets connections which the process has not accepted.
  it("reads the requests of connections that wait when it stops listening", async () => {
    const callers = Array.from(
      { length: CALLERS },
      () => connect(port, "127.0.0.1").on("error", () => {}),
    );
    callers.forEach((each) => each.write(GET));
    // The connections are opened in the next tick, before the event loop accepts any.
    await new Promise(process.nextTick);
    await server.stopListening(MAX_ACCEPT_MS);
    await until(() => calls.length === CALLERS);
    callers.forEach((each) => each.destroy());
  });

  describe("has an open answer", () => {
    // Guards against a stop of the process that cuts off a request which arrives.
    it("from the head of a request on", async () => {
      expect(server.hasOpenAnswers).toBe(false);
      caller.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na");
      await until(() => server.hasOpenAnswers);
      expect(calls).toEqual([]);
    });

    // Guards against a stop that cuts off the end of an answer which a slow caller
    // has not taken yet.
    it("until the caller's connection has taken it whole", async () => {
      caller.pause();
      caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
      await until(() => calls.length === 1);
      calls[0]!.response.end(BODY);
      await sleep(200);
      expect(server.hasOpenAnswers).toBe(true);
      caller.resume();
      await until(() => !server.hasOpenAnswers);
    });

    it("until the caller leaves", async () => {
      caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
      await until(() => calls.length === 1);
      caller.destroy();
      await until(() => !server.hasOpenAnswers);
    });
  });

  describe("tells when it read a request", () => {
    let second: Socket;

    beforeEach(async () => {
      second = connect(port, "127.0.0.1");
      await once(second, "connect");
      await sendOnBoth();
    });

    afterEach(() => second.destroy());

    /** Sends a request on both connections, and answers once both have arrived. */
    async function sendOnBoth(): Promise<EdgeCall[]> {
      const before = calls.length;
      caller.write(GET);
      second.write(GET);
      await until(() => calls.length === before + 2);
      const arrived = calls.slice(before);
      arrived.forEach(({ response }) => response.end());
      await until(() => !server.hasOpenAnswers);
      return arrived;
    }

    // Guards against requests that are held past their time limits because a busy
    // process reads and handles many in a turn of the event loop.
    it("counts from the first of those that it reads in a turn", async () => {
      const [first, other] = await sendOnBoth();
      expect(other!.readMs).toBe(first!.readMs);
    });

    it("counts each turn by itself", async () => {
      const [first] = await sendOnBoth();
      const [next] = await sendOnBoth();
      expect(next!.readMs).toBeGreaterThan(first!.readMs);
    });
  });
});
