import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { describe, expect, it } from "vitest";
import { RequestTimers } from "./request_timers.js";

const DELAY_MS = 10;

describe("RequestTimers", () => {
  // Guards against a time-out of a request whose answer has arrived while the process
  // was held up.
  it("fire after what has arrived is read", async () => {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const address = server.address() as { port: number };
    const sender = connect(address.port, "127.0.0.1");
    const [receiver] = await once(server, "connection") as [Socket];
    const order: string[] = [];
    receiver.on("data", () => order.push("data"));
    await new Promise<void>((resolve) => {
      const timers = new RequestTimers((_key, timer) => {
        order.push(timer);
        resolve();
      });
      setImmediate(() => {
        timers.set(1, "deadline", DELAY_MS);
        sender.write("answer");
        holdUp(2 * DELAY_MS);
      });
    });
    expect(order).toEqual(["data", "deadline"]);
    sender.destroy();
    server.close();
  });

  it("do not fire if they are cleared while the rest is read", async () => {
    const fired: string[] = [];
    const timers = new RequestTimers((_key, timer) => fired.push(timer));
    timers.set(1, "deadline", 0);
    setTimeout(() => timers.clear(1, "deadline"), 0);
    holdUp(DELAY_MS);
    await new Promise((resolve) => setTimeout(resolve, DELAY_MS));
    expect(fired).toEqual([]);
  });
});

/** Keeps the event loop from running. */
function holdUp(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}
