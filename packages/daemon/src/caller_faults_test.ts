import { request } from "node:http";
import { connect } from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  authorization,
  callService,
  chat,
  CLIENT_KEY,
  expectedText,
  MODEL,
  startChat,
} from "./fault_caller_fixture.js";
import { FaultFleet, waitUntil } from "./fault_fixture.js";

const KIB = 1024;
const MIB = 1024 * KIB;

/** Time in which a caller reads nothing of its response. */
const READ_PAUSE_MS = 500;

interface BadCall {
  readonly name: string;
  readonly status: number;
  readonly code: string;
  readonly init: RequestInit;
}

const chatBody = (model: string) =>
  JSON.stringify({ model, messages: [{ role: "user", content: "x" }] });

const BAD_CALLS: BadCall[] = [
  {
    name: "a wrong key",
    status: 401,
    code: "invalid_api_key",
    init: { headers: { authorization: "Bearer wrong" }, body: chatBody(MODEL) },
  },
  {
    name: "no key",
    status: 401,
    code: "invalid_api_key",
    init: { headers: {}, body: chatBody(MODEL) },
  },
  {
    name: "an unknown model",
    status: 404,
    code: "model_not_found",
    init: { headers: authorization(), body: chatBody("other") },
  },
  {
    name: "malformed JSON",
    status: 400,
    code: "",
    init: { headers: authorization(), body: '{"model":' },
  },
  {
    name: "a body of 10 MB",
    status: 413,
    code: "body_too_large",
    init: { headers: authorization(), body: "x".repeat(10 * MIB) },
  },
];

describe("faults between caller and router", () => {
  const fleet = new FaultFleet();
  let url = "";

  beforeAll(async () => {
    await fleet.start();
    url = fleet.addresses[0].http_url;
  });
  afterAll(() => fleet.dispose());

  /** Sends raw bytes, one part per interval, and resolves to the response. */
  function sendRaw(parts: string[], intervalMs: number): Promise<string> {
    return new Promise((resolve, reject) => {
      const socket = connect(Number(new URL(url).port), "127.0.0.1");
      let received = "";
      const timer = setInterval(() => {
        const part = parts.shift();
        if (part !== undefined && socket.writable) {
          socket.write(part);
        }
      }, intervalMs);
      socket.on("data", (data) => {
        received += data.toString();
      });
      socket.on("error", reject);
      socket.on("close", () => {
        clearInterval(timer);
        resolve(received);
      });
    });
  }

  // Guards against invalid calls that reach an endpoint or crash the router.
  it.each(BAD_CALLS)("$name gives $status", async ({ status, code, init }) => {
    const response = await fetch(`${url}/v1/chat/completions`, {
      ...init,
      method: "POST",
    });
    const body = await response.json() as { error: { code: string } };
    expect(response.status).toBe(status);
    expect(response.headers.get("anvildeal-outcome")).toBe("not-run");
    expect(response.headers.get("anvildeal-request")).toBeTruthy();
    expect(body.error.code).toContain(code);
    expect((await chat(url, "after", 5)).body).toBe(expectedText("after", 5));
  });

  // Guards against slow callers that occupy connections for a long time.
  it("a body sent at one byte a second gives 408", async () => {
    const head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n" +
      `authorization: Bearer ${CLIENT_KEY}\r\ncontent-length: 1000\r\n\r\n`;
    const answer = await sendRaw([head, ..."xxxxxxxxxx"], 1000);
    expect(answer).toMatch(/^HTTP\/1.1 408 /);
    expect(answer.toLowerCase()).toContain("anvildeal-outcome: not-run");
  });

  it("headers sent at one byte a second give 408", async () => {
    const answer = await sendRaw(
      ["POST / HTTP/1.1\r\n", ..."xxxxxxxxxx"],
      1000,
    );
    expect(answer).toMatch(/^HTTP\/1.1 408 /);
    expect(answer.toLowerCase()).toContain("anvildeal-outcome: not-run");
  });

  it("headers above 16 KiB give 431", async () => {
    const head = `GET /v1/models HTTP/1.1\r\nx-large: ${
      "x".repeat(20 * KIB)
    }\r\n\r\n`;
    const answer = await sendRaw([head], 10);
    expect(answer).toMatch(/^HTTP\/1.1 431 /);
    expect(answer.toLowerCase()).toContain("anvildeal-outcome: not-run");
  });

  // Guards against slots that are not released, which would cause later
  // requests to be refused.
  it.each([true, false])(
    "a call that is cancelled while it runs releases its slot (stream: %s)",
    async (stream) => {
      const controller = new AbortController();
      const { signal } = controller;
      const call = startChat(url, "cancel", 1000, stream, { signal })
        .then((response) => response.text()).catch(() => "cancelled");
      await waitUntil(
        "a sidecar runs the call",
        async () => await fleet.runningAttemptCount() === 1,
      );
      controller.abort();
      expect(await call).toBe("cancelled");
      await waitUntil(
        "the sidecar releases the slot",
        async () => await fleet.runningAttemptCount() === 0,
      );
      const status = fleet.routers[0].status() as {
        requests_in_flight: number;
      };
      expect(status.requests_in_flight).toBe(0);
      if (stream) {
        await waitUntil(
          "the engine stops",
          () => fleet.runningEngineCallCount() === 0,
        );
      }
    },
  );

  // Guards against a listener leak in the router and against acknowledgements
  // that it never sends while the caller does not read.
  it("a caller that pauses reading gets a large response completely", async () => {
    const warnings: string[] = [];
    const onWarning = (warning: Error) => warnings.push(warning.name);
    process.on("warning", onWarning);
    const text = "0123456789abcdef".repeat(4 * MIB / 16);
    const received = await new Promise<string>((resolve, reject) => {
      const call = request(`${url}/services/approvals/entry`, {
        method: "PUT",
        headers: authorization(),
      }, (response) => {
        const parts: Buffer[] = [];
        setTimeout(() => {
          response.on("data", (part: Buffer) => parts.push(part));
        }, READ_PAUSE_MS);
        response.on("end", () => resolve(Buffer.concat(parts).toString()));
        response.on("error", reject);
      });
      call.on("error", reject);
      call.end(text);
    });
    process.off("warning", onWarning);
    expect((JSON.parse(received) as { body: string }).body === text).toBe(true);
    expect(warnings).toEqual([]);
  });

  it("an unknown service gives 404", async () => {
    const response = await fetch(`${url}/services/other/x`, {
      headers: authorization(),
    });
    expect(response.status).toBe(404);
    expect(response.headers.get("anvildeal-outcome")).toBe("not-run");
    expect((await callService(url, { method: "GET" })).status).toBe(200);
  });
});
