import { describe, expect, it } from "vitest";
import { BundleSchema } from "../config/index.js";
import { createPlacementPolicy } from "../placement/index.js";
import type { RequestResult } from "../report/index.js";
import type { Facts, Message, MessageOf } from "../wire/index.js";
import { reduceRouter } from "./reduce_router.js";
import type {
  CallerRequest,
  RouterEffect,
  RouterEvent,
} from "./router_event.js";
import { createRouterState } from "./router_state.js";

const KEY_HASH = "a".repeat(64);

const FACTS: Facts = {
  endpointId: "e1",
  incarnation: 1,
  state: "active",
  loadTokens: 0,
  queueWaitMs: 0,
  poolMeanTokens: 0,
  prefillTokensPerS: 1000,
  configVersion: 1,
};

function callerRequest(requestId: string): CallerRequest {
  return {
    requestId,
    kind: "chat",
    keyHash: KEY_HASH,
    method: "POST",
    path: "/v1/chat/completions",
    headers: {},
    body: new Uint8Array(),
    target: "m-1",
    stream: true,
    chatId: "c",
    blockHashes: [],
    promptTokens: 10,
    deadlineInMs: 1000,
    idempotent: false,
    fingerprint: "f",
  };
}

/** A router with one endpoint, driven event by event. */
class Driver {
  readonly results: RequestResult[] = [];
  readonly sent: Message[] = [];
  readonly #state = createRouterState({
    nodeId: "r1",
    failureDomain: "a",
    seed: 1,
    placement: createPlacementPolicy("policy"),
    probeCount: 3,
    probeFreshMs: 250,
    probeTimeoutMs: 100,
    enforceBound: true,
    plainRetries: false,
    detectSilence: true,
  });

  constructor() {
    const bundle = BundleSchema.parse({
      accounts: [{ name: "wiki", key_hashes: [KEY_HASH] }],
      pools: [{ name: "chat", kind: "model", models: ["m-1"] }],
    });
    this.run({ type: "config_applied", nowMs: 0, version: 1, bundle });
  }

  run(event: RouterEvent): void {
    for (const effect of reduceRouter(this.#state, event)) {
      this.#take(effect);
    }
  }

  receive(nowMs: number, message: Message): void {
    this.run({ type: "message", nowMs, endpointId: "e1", message });
  }

  addEndpoint(): void {
    const message: MessageOf<"instances"> = {
      type: "instances",
      listVersion: 1,
      instances: [{
        instanceId: "e1",
        role: "endpoint",
        pool: "chat",
        address: "127.0.0.1:1",
        failureDomain: "a",
        state: "live",
      }],
    };
    this.run({
      type: "membership",
      nowMs: 0,
      event: { type: "message_received", nowMs: 0, peerId: "r2", message },
    });
  }

  /** Starts a request; returns the id of its attempt once it is submitted. */
  submit(requestId: string): string {
    const request = callerRequest(requestId);
    this.run({ type: "request_received", nowMs: 10, request });
    const probe = this.sent.find(({ type }) => type === "probe");
    if (probe?.type === "probe") {
      const { probeId } = probe;
      const cachedIndex = -1;
      this.receive(10, {
        type: "probe_reply",
        probeId,
        facts: FACTS,
        cachedIndex,
      });
    }
    const submit = this.sent.find(({ type }) => type === "submit");
    return submit?.type === "submit" ? submit.attemptId : "none";
  }

  #take(effect: RouterEffect): void {
    if (effect.type === "request_ended") {
      this.results.push(effect.result);
    } else if (effect.type === "send") {
      this.sent.push(effect.message);
    }
  }
}

describe("request_ended", () => {
  it("reports times of an answer once, with the deadline judged", () => {
    const router = new Driver();
    router.addEndpoint();
    const attemptId = router.submit("q1");
    const data = new Uint8Array([1]);
    router.receive(20, { type: "accepted", attemptId, facts: FACTS });
    const headers = { "content-type": "text/event-stream" };
    router.receive(20, {
      type: "head",
      attemptId,
      seq: 0,
      status: 200,
      headers,
    });
    router.receive(30, { type: "chunk", attemptId, seq: 1, data });
    router.receive(50, { type: "chunk", attemptId, seq: 2, data });
    router.receive(70, { type: "end", attemptId, seq: 3, facts: FACTS });
    expect(router.results).toEqual([{
      account: "wiki",
      pool: "chat",
      elapsedMs: 60,
      firstTokenMs: 20,
      meanInterTokenMs: 40,
      deadlineMet: true,
      whole: true,
      available: true,
      reason: "answered",
    }]);
  });

  it("reports a cut answer as neither whole nor available", () => {
    const router = new Driver();
    router.addEndpoint();
    const attemptId = router.submit("q1");
    router.receive(20, { type: "accepted", attemptId, facts: FACTS });
    router.receive(30, {
      type: "failed",
      attemptId,
      seq: 0,
      outcome: "unknown",
      reason: "reset",
      facts: FACTS,
    });
    expect(router.results).toMatchObject([
      { whole: false, available: false, reason: "outcome_unknown" },
    ]);
  });

  it("blames neither wholeness nor service when the caller leaves", () => {
    const router = new Driver();
    router.addEndpoint();
    router.submit("q1");
    router.run({ type: "caller_gone", nowMs: 40, requestId: "q1" });
    expect(router.results).toEqual([{
      account: "wiki",
      pool: "chat",
      elapsedMs: 30,
      reason: "caller_gone",
    }]);
  });

  it("counts a refusal for lack of endpoints as unavailable", () => {
    const router = new Driver();
    router.submit("q1");
    expect(router.results).toMatchObject([
      { available: false, deadlineMet: false, reason: "overloaded" },
    ]);
    expect(router.results[0].whole).toBeUndefined();
  });
});
