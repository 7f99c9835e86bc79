/**
 * State of the router reducer: the requests in progress, what is known about
 * each endpoint, and the usage counted against the accounts' limits.
 */
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
import type { StreamHead } from "../stream_continuation.js";
import type { PlacementPolicy, RandomBelow } from "../placement/index.js";
import type {
  EndpointStatus,
  MessageOf,
  RefusedMessage,
} from "../wire/index.js";
import type { RequestSnapshot } from "./request_machine.js";
import type { CallerRequest, RouterEffect } from "./router_event.js";

/** Capacity of `chatEndpoints`; the least recently used chats are evicted. */
const MAX_CHAT_ENDPOINTS = 20_000;

/**
 * Number of finished requests whose recorded steps are kept for the `explain`
 * command.
 */
const MAX_EXPLAINED_REQUESTS = 2000;

export interface RouterOptions {
  readonly nodeId: string;
  readonly failureDomain: string;
  /** Seed of the reducer's pseudorandom number generator. */
  readonly seed: number;
  readonly placement: PlacementPolicy;
  /** Number of endpoints on the shortlist of a placement. */
  readonly probeCount: number;
  /**
   * Age up to which an endpoint's status makes a probe unnecessary, if the
   * prompt has no block that could be cached.
   */
  readonly probeFreshMs: Millis;
  /** Time for which replies to the probes of a placement are awaited. */
  readonly probeTimeoutMs: Millis;
  /**
   * Whether sidecars apply their load bound to requests of this router. False
   * for the placement baselines of the benchmark.
   */
  readonly enforceLoadBound: boolean;
  /**
   * Whether each failed call is retried up to the limit of executions, without
   * regard to idempotence and retry budgets. True only for a benchmark
   * baseline.
   */
  readonly retryUnconditionally: boolean;
  /**
   * Whether a connection is closed when a ping stays unanswered. False for the
   * benchmark baseline that relies on TCP to detect a dead connection.
   */
  readonly detectStalledConnections: boolean;
}

/** Entries of the bundle in force, by the names and key hashes in requests. */
export interface BundleIndex {
  readonly version: number;
  readonly accountsByKeyHash: ReadonlyMap<string, Account>;
  readonly poolsByName: ReadonlyMap<string, Pool>;
  readonly poolsByModel: ReadonlyMap<string, Pool>;
  readonly servicesByName: ReadonlyMap<string, Service>;
  /** Failure domains whose endpoints get no new requests. */
  readonly evacuatedDomains: ReadonlySet<string>;
}

/**
 * State of this router's connection to an endpoint's sidecar, and the endpoint's
 * last status. The entry is kept when the connection is closed.
 */
export interface SidecarConnectionState {
  /** Latest status that the sidecar attached to a message. */
  status: EndpointStatus | undefined;
  /** Time at which `status` was received. */
  statusAtMs: Millis;
  connected: boolean;
  /** Incarnation of the sidecar at the other end of the connection. */
  incarnation: number | undefined;
  lastPingMs: Millis;
  /** Time of the oldest ping that has no pong yet. */
  unansweredPingMs: Millis | undefined;
  /** Ids of the attempts that wait for a frame from this endpoint. */
  readonly attemptIds: Set<string>;
  /** Ids of the probes that wait for a reply from this endpoint. */
  readonly probeIds: Set<string>;
}

export interface AttemptState {
  readonly attemptId: string;
  readonly endpointId: string;
  /**
   * Incarnation of the sidecar that the submit frame was sent to; undefined
   * until the connection is established.
   */
  incarnation: number | undefined;
  /** Sequence number of the next answer frame. */
  expectedSeq: number;
  /** All frames with lower sequence numbers have been acknowledged. */
  ackedSeq: number;
  /** Bytes of body data received since the last ack frame. */
  unackedBytes: number;
  /**
   * Time by which the sidecar must answer the resume frame; undefined while
   * the attempt is not being resumed.
   */
  resumeDeadlineAtMs: Millis | undefined;
  /** Number of resume frames sent for this attempt. */
  resumeCount: number;
}

/**
 * One step in the processing of a request, as the `explain` command prints it.
 */
export interface ExplainStep {
  readonly atMs: Millis;
  readonly step: string;
  readonly endpointId?: string | undefined;
  readonly detail?: string | undefined;
}

/** A request from its admission until the response has ended. */
export interface RequestState {
  readonly request: CallerRequest;
  readonly account: Account;
  readonly pool: Pool;
  /** Whether the call may be executed more than once. */
  readonly idempotent: boolean;
  readonly receivedAtMs: Millis;
  readonly deadlineAtMs: Millis;
  /**
   * Output tokens in work estimates: the limit for a chat, a constant for a call
   * to a plain service.
   */
  readonly estimatedOutputTokens: number;
  /** Current state of the request's state machine. */
  snapshot: RequestSnapshot;
  /** Current attempt; undefined while the request is being placed. */
  attempt: AttemptState | undefined;
  /** Number of attempts so far, including the current one. */
  attemptCount: number;
  /** Number of failed attempts that may have run at their endpoint. */
  executions: number;
  readonly triedEndpointIds: Set<string>;
  /** Ids of the endpoints to try next, best first. */
  nextEndpointIds: string[];
  /**
   * Probes of the current placement; undefined while no replies are awaited.
   */
  probeRound: ProbeRound | undefined;
  /**
   * Set while the request waits until this router has configuration `version`.
   * The request fails at `untilMs`.
   */
  configWait: { version: number; untilMs: Millis } | undefined;
  lastRefusal: RefusedMessage | undefined;
  /** Whether status and headers of the response were sent to the caller. */
  headSent: boolean;
  /** Head of the response, as far as another attempt may continue its stream. */
  sentHead: StreamHead | undefined;
  /** Time of the first chunk of the answer. */
  firstDataAtMs: Millis | undefined;
  /** Number of answer chunks received so far. */
  chunkCount: number;
  /**
   * Answer data of an idempotent chat that was sent to the caller. If the attempt
   * fails, another endpoint continues the answer after this data.
   */
  readonly deliveredData: Uint8Array[];
  /**
   * Part of the answer received so far, while it is buffered; undefined before
   * its head has arrived and once it is being sent to the caller. Sending
   * begins when the answer is complete or too large to buffer, and for a stream
   * at its first event.
   */
  bufferedAnswer: BufferedAnswer | undefined;
  /** Whether the caller's socket is full. No acks are sent in that time. */
  callerCongested: boolean;
  /**
   * Steps in the processing of this request so far, shown by the `explain`
   * command.
   */
  readonly explainSteps: ExplainStep[];
}

export interface BufferedAnswer {
  readonly head: MessageOf<"head">;
  readonly parts: Uint8Array[];
  /** Total length of `parts`. */
  bytes: number;
}

/** Probes that were sent for one placement of a request, and the replies so far. */
export interface ProbeRound {
  readonly deadlineAtMs: Millis;
  /** Ids of the endpoints that have not answered their probe, by probe id. */
  readonly pendingProbes: Map<string, string>;
  /** Cached prompt tokens by endpoint id; 0 for endpoints that need no probe. */
  readonly cachedTokensByEndpointId: Map<string, number>;
  /**
   * Ids of the untried usable endpoints in the order of the rendezvous ranking.
   */
  readonly rankedEndpointIds: readonly string[];
  /**
   * Ids of the endpoints from which the policy selects. Each of them is probed,
   * unless the policy, the request or a fresh status makes a probe unnecessary.
   */
  readonly shortlist: readonly string[];
}

/** Usage that this router counts against the limits of an account. */
export interface AccountUsage {
  /** Limits the rate of the account's requests at this router. */
  readonly bucket: TokenBucket;
  /**
   * The account's requests in progress at this router, compared with its
   * concurrency limit.
   */
  concurrentRequests: number;
}

export interface RouterState {
  readonly options: RouterOptions;
  readonly randomBelow: RandomBelow;
  readonly membership: MembershipState;
  readonly sidecarConnections: Map<string, SidecarConnectionState>;
  /** Requests in progress by request id. */
  readonly requests: Map<string, RequestState>;
  /** Requests by the id of their current attempt. */
  readonly requestsByAttempt: Map<string, RequestState>;
  /** Requests by the ids of their unanswered probes. */
  readonly requestsByProbe: Map<string, RequestState>;
  /** Id of the endpoint that last completed an answer in a chat, by chat id. */
  readonly chatEndpoints: LRUCache<string, string>;
  /** Usage counted against the account limits, by account name. */
  readonly accountUsage: Map<string, AccountUsage>;
  readonly retryBudget: RetryBudget;
  /**
   * Recorded steps of requests that have finished, for the `explain` command, by
   * request id.
   */
  readonly explainSteps: LRUCache<string, readonly ExplainStep[]>;
  config: BundleIndex | undefined;
  /** Whether new requests are refused because the router is shutting down. */
  draining: boolean;
  lastTickMs: Millis | undefined;
  nextProbeNumber: number;
}

/**
 * State, current time and effects collected so far, while the reducer handles
 * one event.
 */
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
      nodeId: options.nodeId,
      role: "router",
      failureDomain: options.failureDomain,
      seed: options.seed + 1,
    }),
    sidecarConnections: new Map(),
    requests: new Map(),
    requestsByAttempt: new Map(),
    requestsByProbe: new Map(),
    chatEndpoints: new LRUCache({ max: MAX_CHAT_ENDPOINTS }),
    accountUsage: new Map(),
    retryBudget: new RetryBudget(),
    explainSteps: new LRUCache({ max: MAX_EXPLAINED_REQUESTS }),
    config: undefined,
    draining: false,
    lastTickMs: undefined,
    nextProbeNumber: 0,
  };
}

/**
 * Returns the connection state of an endpoint and creates it if there is none.
 */
export function sidecarConnectionOf(
  state: RouterState,
  endpointId: string,
): SidecarConnectionState {
  let connection = state.sidecarConnections.get(endpointId);
  if (!connection) {
    connection = {
      status: undefined,
      statusAtMs: Number.NEGATIVE_INFINITY,
      connected: false,
      incarnation: undefined,
      lastPingMs: 0,
      unansweredPingMs: undefined,
      attemptIds: new Set(),
      probeIds: new Set(),
    };
    state.sidecarConnections.set(endpointId, connection);
  }
  return connection;
}

/** Adds a step to the request's steps, which the `explain` command prints. */
export function recordExplainStep(
  ctx: RouterContext,
  request: RequestState,
  step: string,
  details: { endpointId?: string; detail?: string } = {},
): void {
  request.explainSteps.push({ atMs: ctx.nowMs, step, ...details });
}

export function recordMetric(
  ctx: RouterContext,
  metric: MetricName,
  labels: Readonly<Record<string, string>> = {},
  value = 1,
): void {
  ctx.effects.push({ type: "measure", measurement: { metric, value, labels } });
}

/**
 * Whether an attempt or probe of this router waits for a frame from the
 * endpoint.
 */
export function awaitsFrames(connection: SidecarConnectionState): boolean {
  return connection.attemptIds.size > 0 || connection.probeIds.size > 0;
}
