import {
  OpenAiDialect,
  type Order,
  PlainDialect,
  type SubmitMessage,
} from "@anvildeal/core";
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { CUT_ANSWERS, writeAndReset } from "../net/raw_server_fixture.js";
import { type CallListener, EngineClient } from "./engine_client.js";

const REFUSAL = "HTTP/1.1 503 Refused\r\nContent-Length: 0\r\n\r\n";

const ORDER: Order = {
  type: "order",
  orderId: "o",
  kind: "drain",
  parameters: {},
  fencingNumber: 1,
};

/** Time for which the endpoint runs a call. */
const RUN_MS = 20;

function answerTo(path: string): string {
  return `HTTP/1.1 200 OK\r\nContent-Length: ${path.length}\r\n\r\n${path}`;
}

function submit(path: string): SubmitMessage {
  return {
    type: "submit",
    requestId: path,
    attemptId: path,
    kind: "service",
    account: "a",
    weight: 1,
    priority: 1,
    startWithinMs: 1000,
    idempotent: true,
    promptTokens: 0,
    outputTokens: 0,
    method: "GET",
    path,
    headers: {},
    body: new Uint8Array(),
    configVersion: 1,
    prefixHashes: new Uint8Array(),
  };
}

function describeEvent(event: Parameters<CallListener>[0]): string {
  switch (event.type) {
    case "call_head":
      return String(event.status);
    case "call_data":
      return new TextDecoder().decode(event.data);
    default:
      return event.type;
  }
}

describe("EngineClient", () => {
  let server: Server;
  let client: EngineClient;
  /** Statuses, parts of bodies and ends of calls as the client reports them. */
  let reported: string[];
  /** Writes what the endpoint answers to a request. */
  let answer: (socket: Socket, path: string) => Promise<void>;

  beforeEach(async () => {
    reported = [];
    server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", (data) => {
        const [, path = ""] = data.toString().split(" ");
        void answer(socket, path);
      });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    client = new EngineClient(
      `http://127.0.0.1:${port}`,
      new PlainDialect(),
      (event) => reported.push(describeEvent(event)),
    );
  });

  afterEach(() => {
    client.dispose();
    server.close();
  });

  /** Runs a call and returns what the client reports of it. */
  async function run(
    path: string,
    changes: Partial<SubmitMessage> = {},
  ): Promise<string> {
    reported = [];
    client.start(path, { ...submit(path), ...changes });
    while (!/ended|failed/.test(reported.at(-1) ?? "")) {
      await sleep(2);
    }
    return reported.join(" ");
  }

  // Guards against an answer that belongs to an earlier call on the same connection.
  it.each([
    ["before the answer to the next call", 0],
    ["after the next call has been sent", RUN_MS / 2],
  ])("ignores a refusal that is repeated %s", async (_name, delayMs) => {
    const refused = new Set<Socket>();
    answer = async (socket, path) => {
      if (path === "/refused") {
        refused.add(socket);
        socket.write(REFUSAL);
        return;
      }
      await sleep(delayMs);
      if (refused.has(socket)) {
        socket.write(REFUSAL);
      }
      await sleep(RUN_MS);
      socket.write(answerTo(path));
    };
    expect(await run("/refused")).toBe("503 call_ended");
    expect(await run("/next")).toBe("200 /next call_ended");
  });

  it("ignores a second copy of an answer", async () => {
    const answered = new Map<Socket, string>();
    answer = async (socket, path) => {
      const earlier = answered.get(socket);
      answered.set(socket, path);
      if (earlier !== undefined) {
        socket.write(answerTo(earlier));
      }
      await sleep(RUN_MS);
      socket.write(answerTo(path));
    };
    for (const path of ["/a", "/b", "/c"]) {
      expect(await run(path)).toBe(`200 ${path} call_ended`);
    }
  });

  // Guards against a reset that is taken for the end of an answer without a length.
  describe("reports an answer that is reset as failed", () => {
    it.each(CUT_ANSWERS)("to a call: %j", async (cut) => {
      answer = async (socket) => writeAndReset(socket, cut);
      expect(await run("/a")).toMatch(/^200 .*call_failed$/);
    });

    it.each(CUT_ANSWERS)("to a chat without a stream: %j", async (cut) => {
      answer = async (socket) => writeAndReset(socket, cut);
      client.setDialect(new OpenAiDialect());
      const chat = {
        kind: "chat" as const,
        body: new TextEncoder().encode('{"stream":false}'),
      };
      expect(await run("/v1/chat/completions", chat))
        .toMatch(/^200 .*call_failed$/);
    });

    it.each(CUT_ANSWERS)("to an order: %j", async (cut) => {
      answer = async (socket) => writeAndReset(socket, cut);
      const result = await client.runOrder(ORDER);
      expect(result.accepted).toBe(false);
    });
  });

  // Guards against a process that keeps what a faulty endpoint writes until it runs
  // out of memory.
  describe("closes the connection of an endpoint that writes without end", () => {
    const ENDLESS_PART = "x".repeat(64 * 1024);
    let closed: Promise<unknown>;

    /** Answers with a head and then with bytes until the connection closes. */
    function answerEndlessly(contentType: string, start: string): void {
      answer = async (socket) => {
        closed = new Promise((resolve) => socket.once("close", resolve));
        socket.write(
          `HTTP/1.1 200 OK\r\nContent-Type: ${contentType}\r\n\r\n${start}`,
        );
        while (!socket.destroyed) {
          if (!socket.write(ENDLESS_PART)) {
            await Promise.race([once(socket, "drain"), once(socket, "close")])
              .catch(() => {});
          }
        }
      };
    }

    it("in an event of a chat stream", async () => {
      answerEndlessly("text/event-stream", "data: ");
      client.setDialect(new OpenAiDialect());
      client.start("a", {
        ...submit("/v1/chat/completions"),
        kind: "chat",
        body: new TextEncoder().encode('{"stream":true}'),
      });
      while (!reported.includes("call_failed")) {
        await sleep(2);
      }
      expect(reported).toEqual(["200", "call_failed"]);
      await closed;
    });

    it("in the answer to an order", async () => {
      answerEndlessly("application/json", "");
      const result = await client.runOrder(ORDER);
      expect(result.accepted).toBe(false);
      await closed;
    });

    it("in its cache events", async () => {
      answerEndlessly("application/json", "");
      expect(await client.readCacheEvents(0)).toBeUndefined();
      await closed;
    });
  });
});
