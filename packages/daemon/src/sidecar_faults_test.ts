import { randomUUID } from "node:crypto";
import type { ModelEngine } from "@anvildeal/stand-ins";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  type CallAnswer,
  callService,
  expectedText,
  FaultFleet,
  type FaultNode,
  streamChat,
  until,
} from "./fault_fixture.js";

/** Long enough that the fault strikes half-way at 10 ms a token. */
const TOKENS = 120;

/** Longer than the 2 s after which a connection counts as silent. */
const SILENCE_TOKENS = 300;

describe("faults behind the router", () => {
  let fleet: FaultFleet;
  let url = "";

  beforeEach(async () => {
    fleet = await new FaultFleet().start();
    url = fleet.addresses[0].http_url;
  });
  afterEach(() => fleet.dispose());

  /** Streams a chat and lets the fault strike its endpoint half-way. */
  async function streamWith(
    strike: (node: FaultNode) => void | Promise<void>,
    tokens = TOKENS,
  ): Promise<CallAnswer> {
    const text = `chat ${randomUUID()}`;
    const answer = await streamChat(
      url,
      text,
      tokens,
      (id) => strike(fleet.node(id)),
    );
    expect(answer.status).toBe(200);
    expect(answer.body).toBe(expectedText(text, tokens));
    expect(answer.whole).toBe(true);
    return answer;
  }

  function executionsOf(answer: CallAnswer): number {
    const id = answer.headers.get("anvildeal-request") ?? "";
    return fleet.modelExecutions(id);
  }

  describe("between router and sidecar", () => {
    const FAULTS: [string, (node: FaultNode) => void][] = [
      ["reset", ({ peerProxy }) => peerProxy.resetConnections()],
      ["reset and cut again half-way", ({ peerProxy }) => {
        peerProxy.cutNext({ afterBytes: 2500, direction: "to_client" });
        peerProxy.resetConnections();
      }],
      ["delayed by 300 ms", ({ peerProxy }) => peerProxy.setDelay(300)],
      [
        "silent both ways",
        ({ peerProxy }) => peerProxy.silenceConnections("both"),
      ],
      [
        "silent towards the sidecar",
        ({ peerProxy }) => peerProxy.silenceConnections("to_target"),
      ],
      [
        "silent towards the router",
        ({ peerProxy }) => peerProxy.silenceConnections("to_client"),
      ],
    ];

    // Guards against cut or repeated text and a second execution after a
    // connection was lost.
    it.each(FAULTS)("a stream is whole when %s", async (_name, strike) => {
      const answer = await streamWith(strike, SILENCE_TOKENS);
      expect(executionsOf(answer)).toBe(1);
    });

    it("an idempotent stream is whole when its sidecar is killed", async () => {
      await streamWith((node) => fleet.kill(node));
    });

    it("an idempotent stream is whole when its sidecar is replaced", async () => {
      await streamWith((node) => {
        fleet.kill(node);
        return fleet.restart(node);
      });
    });

    // Guards against a repeat of a call that may have run.
    it.each([undefined, "key-killed"])(
      "a call that runs at a killed sidecar gets unknown (key %s)",
      async (key) => {
        const id = randomUUID();
        for (const { endpoint } of fleet.services) {
          await endpoint.setFaults({ slow_ms: 0, delay_ms: 2000 } as object);
        }
        const call = callService(url, {
          method: "POST",
          headers: {
            "x-execution-id": id,
            ...key !== undefined && { "idempotency-key": key },
          },
          body: "approve",
        });
        await until("the call runs", () => fleet.serviceExecutions(id) === 1);
        const node = fleet.services.find(({ endpoint }) =>
          endpoint.executions.startedCount(id) === 1
        );
        fleet.kill(node!);
        const answer = await call;
        expect(answer.status).toBe(502);
        expect(answer.headers.get("anvildeal-outcome")).toBe("unknown");
        expect(answer.headers.get("retry-after")).toBeTruthy();
        expect(fleet.serviceExecutions(id)).toBe(1);
      },
    );
  });

  describe("between sidecar and engine", () => {
    it("a stream is whole when the engine's connection goes silent", async () => {
      const answer = await streamWith(({ engineProxy }) =>
        engineProxy.silenceConnections("to_client")
      );
      expect(executionsOf(answer)).toBe(1);
    });

    it("a stream is whole when the engine's connection is reset", async () => {
      const answer = await streamWith(({ engineProxy }) =>
        engineProxy.resetConnections()
      );
      expect(executionsOf(answer)).toBe(1);
    });

    it("a stream is whole when its engine is killed", async () => {
      await streamWith(async ({ endpoint, engineProxy }) => {
        await (endpoint as ModelEngine).setFaults({ outage: "refuse" });
        await engineProxy.setAccepting(false);
        engineProxy.resetConnections();
      });
    });

    // Guards against calls that end although another endpoint could run them.
    it("calls are placed elsewhere when an engine refuses connections", async () => {
      const [refusing, other] = fleet.services;
      await refusing.engineProxy.setAccepting(false);
      refusing.engineProxy.resetConnections();
      for (let i = 0; i < 6; i++) {
        const id = randomUUID();
        const answer = await callService(url, {
          method: "POST",
          headers: { "x-execution-id": id, "anvildeal-chat": id },
          body: "approve",
        });
        expect(answer.status).toBe(200);
        expect(answer.headers.get("anvildeal-endpoint")).toBe(other.id);
        expect(fleet.serviceExecutions(id)).toBe(1);
      }
    });
  });
});
