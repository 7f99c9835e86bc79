import { LRUCache } from "lru-cache";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { RetryBudget, type TokenBucket } from "../admission/index.js";
import type { Millis } from "../clock.js";
import type { Account, Pool, Service } from "../config/index.js";
import {
  createMembershipState,
  type MembershipState,
} from "../membership/index.js";
import type { MetricName } from "../metric_names.js";
import type { PlacementPolicy, RandomBelow } from "../placement/index.js";
import type {
  EndpointStatus,
  MessageOf,
  RefusedMessage,
} from "../wire/index.js";
import type { RequestSnapshot } from "./request_machine.js";
import type { CallerRequest, RouterEffect } from "./router_event.js";

/** Chats whose last endpoint a router remembers. */
const CHAT_MEMORY_SIZE = 20_000;

/** Finished requests that `explain` can still describe. */
const EXPLAIN_MEMORY_SIZE = 2000;

export interface RouterOptions {
  readonly nodeId: string;
  readonly failureDomain: string;
  readonly seed: number;
  readonly placement: PlacementPolicy;
  readonly probeCount: number;
  readonly probeFreshMs: Millis;
  readonly probeTimeoutMs: Millis;
  /** The load bound of the sidecars applies; off for placement baselines. */
  readonly enforceLoadBound: boolean;
  /** Baseline of the bench: repeat every failed call, keyed or not. */
  readonly retryUnconditionally: boolean;
  /** Baseline of the bench: rely on TCP to notice silent connections. */
  readonly detectStalledConnections: boolean;
}

/** Configuration in force, indexed for lookups by request. */
export interface RouterConfig {
  readonly version: number;
  readonly accountsByKeyHash: ReadonlyMap<string, Account>;
  readonly poolsByName: ReadonlyMap<string, Pool>;
  readonly poolsByModel: ReadonlyMap<string, Pool>;
  readonly servicesByName: ReadonlyMap<string, Service>;
}

/** What this router knows of an endpoint from its own traffic. */
export interface EndpointContact {
  status: EndpointStatus | undefined;
  factsAtMs: Millis;
  connected: boolean;
  /** Incarnation of the sidecar at the other end of the connection. */
  incarnation: number | undefined;
  lastPingMs: Millis;
  /** Time of the oldest ping that has no pong yet. */
  unansweredPingMs: Millis | undefined;
  /** Attempts and probes that wait for a frame of this endpoint. */
  readonly attemptIds: Set<string>;
  readonly probeIds: Set<string>;
}

export interface AttemptState {
  readonly attemptId: string;
  readonly endpointId: string;
  /** Incarnation that the submit frame went to, once connected. */
  incarnation: number | undefined;
  expectedSeq: number;
  ackedSeq: number;
  /** Data received since the last ack. */
  unackedBytes: number;
  /** Time by which a lost attempt must be found again. */
  resumeDeadlineMs: Millis | undefined;
  resumes: number;
}

export interface ExplainStep {
  readonly atMs: Millis;
  readonly step: string;
  readonly endpointId?: string | undefined;
  readonly detail?: string | undefined;
}

export interface RequestState {
  readonly request: CallerRequest;
  readonly account: Account;
  readonly pool: Pool;
  readonly idempotent: boolean;
  readonly receivedAtMs: Millis;
  readonly deadlineAtMs: Millis;
  readonly outputTokens: number;
  snapshot: RequestSnapshot;
  attempt: AttemptState | undefined;
  attemptCount: number;
  /** Attempts that may have done work before they failed. */
  executions: number;
  readonly tried: Set<string>;
  /** Endpoints to try next, best first. */
  nextIds: string[];
  probing: ProbeRound | undefined;
  /** Set while the request waits for a newer configuration. */
  awaitsConfig: { version: number; untilMs: Millis } | undefined;
  lastRefusal: RefusedMessage | undefined;
  headSent: boolean;
  firstDataAtMs: Millis | undefined;
  chunkCount: number;
  /** Data that reached the caller, for a continuation elsewhere. */
  readonly delivered: Uint8Array[];
  /** Answer held back until it is whole or too large to hold. */
  held: HeldAnswer | undefined;
  congested: boolean;
  readonly steps: ExplainStep[];
}

export interface HeldAnswer {
  readonly head: MessageOf<"head">;
  readonly parts: Uint8Array[];
  bytes: number;
}

export interface ProbeRound {
  readonly deadlineMs: Millis;
  readonly pending: Map<string, string>;
  readonly cachedTokens: Map<string, number>;
  readonly rankedIds: readonly string[];
  readonly shortlist: readonly string[];
}

/** Limits of one account as this router enforces them. */
export interface AccountUsage {
  readonly bucket: TokenBucket;
  concurrent: number;
}

export interface RouterState {
  readonly options: RouterOptions;
  readonly randomBelow: RandomBelow;
  readonly membership: MembershipState;
  readonly endpointConnections: Map<string, EndpointContact>;
  readonly requests: Map<string, RequestState>;
  readonly requestsByAttempt: Map<string, RequestState>;
  readonly requestsByProbe: Map<string, RequestState>;
  readonly chatEndpoints: LRUCache<string, string>;
  readonly usage: Map<string, AccountUsage>;
  readonly retries: RetryBudget;
  readonly explainSteps: LRUCache<string, readonly ExplainStep[]>;
  config: RouterConfig | undefined;
  draining: boolean;
  lastTickMs: Millis | undefined;
  nextProbeNumber: number;
}

/** What a step of the reducer works on. */
export interface RouterContext {
  readonly state: RouterState;
  readonly nowMs: Millis;
  readonly effects: RouterEffect[];
}

export function createRouterState(options: RouterOptions): RouterState {
  const random = xoroshiro128plus(options.seed);
  return {
    options,
    randomBelow: (limit) => uniformInt(random, 0, limit - 1),
    membership: createMembershipState({
      selfId: options.nodeId,
      role: "router",
      failureDomain: options.failureDomain,
      seed: options.seed + 1,
    }),
    endpointConnections: new Map(),
    requests: new Map(),
    requestsByAttempt: new Map(),
    requestsByProbe: new Map(),
    chatEndpoints: new LRUCache({ max: CHAT_MEMORY_SIZE }),
    usage: new Map(),
    retries: new RetryBudget(),
    explainSteps: new LRUCache({ max: EXPLAIN_MEMORY_SIZE }),
    config: undefined,
    draining: false,
    lastTickMs: undefined,
    nextProbeNumber: 0,
  };
}

/** The contact of an endpoint, created on first use. */
export function contactOf(
  state: RouterState,
  endpointId: string,
): EndpointContact {
  let contact = state.endpointConnections.get(endpointId);
  if (!contact) {
    contact = {
      status: undefined,
      factsAtMs: Number.NEGATIVE_INFINITY,
      connected: false,
      incarnation: undefined,
      lastPingMs: 0,
      unansweredPingMs: undefined,
      attemptIds: new Set(),
      probeIds: new Set(),
    };
    state.endpointConnections.set(endpointId, contact);
  }
  return contact;
}

/** Records a step for `explain`. */
export function explain(
  ctx: RouterContext,
  request: RequestState,
  step: string,
  about: { endpointId?: string; detail?: string } = {},
): void {
  request.steps.push({ atMs: ctx.nowMs, step, ...about });
}

export function measure(
  ctx: RouterContext,
  metric: MetricName,
  labels: Readonly<Record<string, string>> = {},
  value = 1,
): void {
  ctx.effects.push({ type: "measure", measurement: { metric, value, labels } });
}

/** Whether the endpoint still owes a frame for anything of this router. */
export function isAwaited(contact: EndpointContact): boolean {
  return contact.attemptIds.size > 0 || contact.probeIds.size > 0;
}
