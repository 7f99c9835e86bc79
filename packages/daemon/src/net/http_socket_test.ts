import { once } from "node:events";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { Agent, request } from "undici";
import { httpConnector, openHttpSocket } from "./http_socket.js";
import {
  CUT_ANSWERS,
  RawServer,
  UNFRAMED_HEADS,
  writeAndReset,
} from "./raw_server_fixture.js";

const CONNECT_TIMEOUT_MS = 1000;

/** Time between the parts of an answer, and for which it is paused. */
const STEP_MS = 50;

describe("httpConnector", () => {
  let server: RawServer;
  let agent: Agent;

  beforeEach(async () => {
    server = new RawServer(() => {});
    await server.listen();
    agent = new Agent({ connect: httpConnector(CONNECT_TIMEOUT_MS) });
  });
  afterEach(async () => {
    await agent.destroy();
    server.close();
  });

  async function read(): Promise<string> {
    const { body } = await request(server.url, { dispatcher: agent });
    return body.text();
  }

  // Guards against a reset that is taken for the end of the answer.
  it.each(CUT_ANSWERS)("fails an answer that is reset: %j", async (cut) => {
    server.answer = (socket) => writeAndReset(socket, cut);
    await expect(read()).rejects.toThrow("reset by the peer");
  });

  it.each(UNFRAMED_HEADS)("reads to an orderly end after %j", async (head) => {
    server.answer = (socket) => socket.end(`${head}whole`);
    expect(await read()).toBe("whole");
  });

  // Guards against an answer that never ends because its end arrives while the
  // caller has paused it, and against an exception at that moment.
  it("reads an answer whose end arrives while it is paused", async () => {
    server.answer = (socket) => {
      socket.write(`${UNFRAMED_HEADS[0]}whole`);
      setTimeout(() => socket.end(), STEP_MS);
    };
    let text = "";
    await new Promise<void>((resolve, reject) => {
      agent.dispatch({ origin: server.url, path: "/", method: "GET" }, {
        onRequestStart: () => {},
        onResponseStart: () => {},
        onResponseData: (controller, chunk) => {
          text += chunk.toString();
          if (chunk.length > 0) {
            controller.pause();
            setTimeout(() => controller.resume(), 2 * STEP_MS);
          }
        },
        onResponseEnd: () => resolve(),
        onResponseError: (_controller, error) => reject(error),
      });
    });
    expect(text).toBe("whole");
  });

  // Guards against a time-out of a connection that opened while the process was held
  // up for longer than the time limit.
  it("connects if the process was held up", async () => {
    const socket = openHttpSocket(new URL(server.url).host, STEP_MS);
    const untilMs = performance.now() + 2 * STEP_MS;
    while (performance.now() < untilMs) {
      // Holds up the event loop.
    }
    await once(socket, "connect");
    socket.destroy();
  });

  it("reports a refused connection", async () => {
    const url = "http://127.0.0.1:1";
    await expect(request(url, { dispatcher: agent }))
      .rejects.toMatchObject({ code: "ECONNREFUSED" });
  });
});
