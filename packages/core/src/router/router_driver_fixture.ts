import { BundleSchema } from "../config/index.js";
import { createPlacementPolicy } from "../placement/index.js";
import type { RequestResult } from "../report/index.js";
import type { EndpointStatus, Message, MessageOf } from "../wire/index.js";
import { reduceRouter } from "./reduce_router.js";
import type {
  CallerRequest,
  RouterEffect,
  RouterEvent,
} from "./router_event.js";
import { createRouterState } from "./router_state.js";

const API_KEY_HASH = "a".repeat(64);

export const ENDPOINT_STATUS: EndpointStatus = {
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
    keyHash: API_KEY_HASH,
    method: "POST",
    path: "/v1/chat/completions",
    headers: {},
    body: new Uint8Array(),
    target: "m-1",
    stream: true,
    chatId: "c",
    affinityKey: "c",
    blockHashes: [],
    promptTokens: 10,
    deadlineInMs: 1000,
    idempotent: false,
    fingerprint: "f",
  };
}

/**
 * Runs the router reducer with a pool of at most one endpoint, "e1", and collects
 * its effects.
 */
export class RouterDriver {
  readonly results: RequestResult[] = [];
  readonly sentMessages: Message[] = [];
  readonly closedEndpointIds: string[] = [];
  readonly abortedRequestIds: string[] = [];
  /** Parts of answers that callers received. */
  readonly respondedData: Uint8Array[] = [];
  readonly #state = createRouterState({
    nodeId: "r1",
    failureDomain: "a",
    seed: 1,
    placement: createPlacementPolicy("policy"),
    probeCount: 3,
    probeFreshMs: 250,
    probeTimeoutMs: 100,
    enforceLoadBound: true,
    retryUnconditionally: false,
    detectStalledConnections: true,
  });

  constructor(evacuatedDomains: readonly string[] = []) {
    this.applyConfig(1, evacuatedDomains);
  }

  applyConfig(configVersion: number, evacuatedDomains: readonly string[]) {
    const bundle = BundleSchema.parse({
      accounts: [{ name: "wiki", key_hashes: [API_KEY_HASH] }],
      pools: [{ name: "chat", kind: "model", models: ["m-1"] }],
      evacuated_failure_domains: evacuatedDomains,
    });
    this.run({ type: "config_applied", nowMs: 0, configVersion, bundle });
  }

  run(event: RouterEvent): void {
    for (const effect of reduceRouter(this.#state, event)) {
      this.#collect(effect);
    }
  }

  receive(nowMs: number, message: Message): void {
    this.run({ type: "message", nowMs, endpointId: "e1", message });
  }

  /** Adds the endpoint "e1" by an instance list from another router. */
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

  /**
   * Starts a request at 10 ms and answers its probe. Returns the id of the
   * submitted attempt, or "none" if there is no endpoint.
   */
  submitRequest(requestId: string, deadlineInMs = 1000): string {
    this.receiveRequest(requestId, deadlineInMs);
    this.answerProbe();
    const submit = this.sentMessages.find(({ type }) => type === "submit");
    return submit?.type === "submit" ? submit.attemptId : "none";
  }

  /** Starts a request at 10 ms. */
  receiveRequest(requestId: string, deadlineInMs = 1000): void {
    const request = { ...callerRequest(requestId), deadlineInMs };
    this.run({ type: "request_received", nowMs: 10, request });
  }

  /** Answers the first probe, if there is one. */
  answerProbe(): void {
    const probe = this.sentMessages.find(({ type }) => type === "probe");
    if (probe?.type === "probe") {
      const { probeId } = probe;
      const cachedIndex = -1;
      this.receive(10, {
        type: "probe_reply",
        probeId,
        facts: ENDPOINT_STATUS,
        cachedIndex,
      });
    }
  }

  #collect(effect: RouterEffect): void {
    if (effect.type === "request_ended") {
      this.results.push(effect.result);
    } else if (effect.type === "send") {
      this.sentMessages.push(effect.message);
    } else if (effect.type === "close_connection") {
      this.closedEndpointIds.push(effect.endpointId);
    } else if (effect.type === "respond_abort") {
      this.abortedRequestIds.push(effect.requestId);
    } else if (effect.type === "respond_data") {
      this.respondedData.push(effect.data);
    }
  }
}
