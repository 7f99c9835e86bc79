/** State of the sidecar reducer, and the endpoint status derived from it. */
import { LRUCache } from "lru-cache";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type AdmissionQueue,
  FairQueue,
  FifoQueue,
  LoadBound,
  type LoadBoundOptions,
  PoolLoadTable,
  type QueuedRequest,
  ServiceRateEstimator,
} from "../admission/index.js";
import type { Millis } from "../clock.js";
import { type Pool, PoolSchema } from "../config/index.js";
import type { MetricName } from "../metric_names.js";
import type { RandomBelow } from "../placement/index.js";
import type {
  EndpointState,
  EndpointStatus,
  MessageOf,
  Outcome,
  SubmitMessage,
} from "../wire/index.js";
import { type AttemptSnapshot } from "./attempt_machine.js";
import { CacheIndex } from "./cache_index.js";
import type { PoolPeer, SidecarEffect } from "./sidecar_event.js";

/** Capacity of `endedOutcomes`; the least recently used entries are evicted. */
const MAX_ENDED_ATTEMPTS = 100_000;

/** Rates assumed until the engine's rates have been observed. */
const INITIAL_RATES = { prefillTokensPerS: 10_000, decodeTokensPerS: 50 };

export interface SidecarOptions {
  readonly endpointId: string;
  /**
   * Number of this run of the sidecar process; it increases with each restart.
   */
  readonly incarnation: number;
  /** Address at which other nodes connect to this sidecar. */
  readonly address: string;
  /** Name of the endpoint's pool. */
  readonly pool: string;
  /** Seed of the reducer's pseudorandom number generator. */
  readonly seed: number;
  /**
   * Amount of unacknowledged answer data at which a call is paused; values below
   * 64 KiB have no effect.
   */
  readonly streamBufferBytes: number;
  /**
   * Whether attempts are queued in the order of their arrival and never refused
   * because they would miss their deadline. True only for a benchmark baseline.
   */
  readonly firstComeFirstServed: boolean;
}

/** A frame that is retained until the router acknowledges it. */
export type AnswerFrame =
  | MessageOf<"head">
  | MessageOf<"chunk">
  | MessageOf<"end">
  | MessageOf<"failed">;

export interface AttemptState extends QueuedRequest {
  readonly submit: SubmitMessage;
  readonly routerId: string;
  readonly receivedAtMs: Millis;
  /**
   * Hashes of the prefixes of the prompt that end at a block boundary, shortest
   * first.
   */
  readonly promptPrefixHashes: readonly bigint[];
  /** Prompt tokens that the cache index did not contain at admission. */
  readonly uncachedTokens: number;
  /** Current state of the attempt's state machine. */
  snapshot: AttemptSnapshot;
  connectionId: string | undefined;
  /** Time of disconnection from the router; undefined while connected. */
  disconnectedAtMs: Millis | undefined;
  /** Time at which the call to the endpoint started; undefined before. */
  startedAtMs: Millis | undefined;
  firstDataAtMs: Millis | undefined;
  /**
   * Prompt tokens of other running attempts that were still to be prefilled when
   * this attempt started.
   */
  prefillAheadTokens: number;
  /** Estimated prompt tokens that are still to be prefilled. */
  remainingPromptTokens: number;
  /** Estimated output tokens that are still to be generated. */
  remainingOutputTokens: number;
  generatedTokens: number;
  /** Sequence number of the next answer frame. */
  nextSeq: number;
  /** Answer frames that the router has not acknowledged. */
  readonly unackedFrames: AnswerFrame[];
  unackedBytes: number;
  /** Whether reading from the endpoint is paused because the buffer is full. */
  paused: boolean;
  /**
   * Whether no router will resume the attempt; its frames are then not
   * retained.
   */
  abandoned: boolean;
  endedAtMs: Millis | undefined;
  /**
   * Status and headers of the answer, for the execution record; undefined
   * unless the call has an idempotency key and its answer has started.
   */
  answerHead: { status: number; headers: Record<string, string> } | undefined;
  /**
   * Body of the answer, for the execution record; empty unless the call has an
   * idempotency key.
   */
  readonly answerBodyParts: Uint8Array[];
}

/** Connection to a router or another sidecar. */
export interface ConnectionState {
  readonly connectionId: string;
  /** Role of the peer. */
  readonly role: "router" | "sidecar";
  /** Node id of the peer. */
  readonly nodeId: string;
  /** Ids of the attempts whose answer frames are sent over this connection. */
  readonly attemptIds: Set<string>;
  lastReceivedMs: Millis;
}

export interface SidecarState {
  readonly options: SidecarOptions;
  readonly randomBelow: RandomBelow;
  /** Attempts by id, until they have ended and their frames are acknowledged. */
  readonly attempts: Map<string, AttemptState>;
  /** Ids of the attempts that occupy a slot of the endpoint. */
  readonly runningAttemptIds: Set<string>;
  /**
   * Outcomes of ended attempts by attempt id, for submit and resume frames that
   * arrive late.
   */
  readonly endedOutcomes: LRUCache<string, Outcome>;
  readonly connections: Map<string, ConnectionState>;
  readonly loadTable: PoolLoadTable;
  readonly loadBound: LoadBound;
  readonly serviceRates: ServiceRateEstimator;
  cacheIndex: CacheIndex;
  queue: AdmissionQueue<AttemptState>;
  /** Configuration of the endpoint's pool. */
  pool: Pool;
  configVersion: number;
  endpointState: EndpointState;
  /** Whether the process exits once no attempt is left. */
  exitWhenDrained: boolean;
  drainStartedAtMs: Millis | undefined;
  /** Whether the exit effect has been emitted. */
  exitEmitted: boolean;
  /** Other endpoints of the pool according to the instance list. */
  peers: readonly PoolPeer[];
  /** Peers that are still to be sent a load digest in this round, in random order. */
  digestRing: PoolPeer[];
  nextDigestMs: Millis;
  lastTickMs: Millis | undefined;
  /**
   * Highest accepted fencing number; orders to this endpoint with a lower
   * number are refused. Undefined after the start of the process until the host
   * has read the number from the store.
   */
  highestFencingNumber: number | undefined;
  /** Time at which an attempt last passed the load bound and deadline checks. */
  lastAdmittedAtMs: Millis | undefined;
}

/**
 * State, current time and effects collected so far, while the reducer handles
 * one event.
 */
export interface SidecarContext {
  readonly state: SidecarState;
  readonly nowMs: Millis;
  readonly effects: SidecarEffect[];
}

export function createSidecarState(
  options: SidecarOptions,
  nowMs: Millis,
): SidecarState {
  const random = xoroshiro128plus(options.seed);
  const pool = PoolSchema.parse({ name: options.pool, kind: "service" });
  const loadTable = new PoolLoadTable(options.endpointId);
  return {
    options,
    randomBelow: (limit) => uniformInt(random, 0, limit - 1),
    attempts: new Map(),
    runningAttemptIds: new Set(),
    endedOutcomes: new LRUCache({ max: MAX_ENDED_ATTEMPTS }),
    connections: new Map(),
    loadTable,
    loadBound: new LoadBound(loadBoundOptionsOf(pool), loadTable, nowMs),
    serviceRates: new ServiceRateEstimator(INITIAL_RATES),
    cacheIndex: new CacheIndex(pool.cache_capacity_tokens),
    queue: createQueue(options, pool),
    pool,
    configVersion: 0,
    endpointState: "starting",
    exitWhenDrained: false,
    drainStartedAtMs: undefined,
    exitEmitted: false,
    peers: [],
    digestRing: [],
    nextDigestMs: 0,
    lastTickMs: undefined,
    highestFencingNumber: undefined,
    lastAdmittedAtMs: undefined,
  };
}

/** Returns the options of the load bound that a pool's configuration sets. */
export function loadBoundOptionsOf(pool: Pool): LoadBoundOptions {
  return {
    multiple: pool.load_bound_multiple,
    floorTokens: pool.load_floor_tokens,
    capacityTokens: pool.load_floor_tokens *
      (pool.max_concurrent_requests + pool.max_queued_requests),
  };
}

export function createQueue(
  options: SidecarOptions,
  pool: Pool,
): AdmissionQueue<AttemptState> {
  return options.firstComeFirstServed
    ? new FifoQueue(pool.max_queued_requests)
    : new FairQueue(pool.max_queued_requests);
}

/** Outstanding work of the endpoint in tokens. */
export function loadTokensOf(state: SidecarState): number {
  let tokens = 0;
  for (const attempt of state.attempts.values()) {
    tokens += attempt.remainingPromptTokens + attempt.remainingOutputTokens;
  }
  return tokens;
}

/** Endpoint status that is attached to messages for routers. */
export function endpointStatusOf(
  { state, nowMs }: SidecarContext,
): EndpointStatus {
  const loadTokens = loadTokensOf(state);
  return {
    endpointId: state.options.endpointId,
    incarnation: state.options.incarnation,
    state: state.endpointState,
    // Numbers are rounded because an integer takes a third of the bytes that a
    // fraction takes on the wire.
    loadTokens: Math.round(loadTokens),
    queueWaitMs: Math.round(queueWaitMsOf(state)),
    poolMeanTokens: Math.round(
      state.loadBound.poolMeanTokens(loadTokens, nowMs),
    ),
    prefillTokensPerS: Math.ceil(state.serviceRates.prefillTokensPerS),
    configVersion: state.configVersion,
  };
}

/**
 * Estimated time until the engine would start a new request: the wait for a
 * free slot and the prefill of the prompts before it.
 */
export function queueWaitMsOf(state: SidecarState): Millis {
  const { serviceRates, pool, runningAttemptIds, attempts } = state;
  let prefillTokens = 0;
  let earliestEndMs = Number.POSITIVE_INFINITY;
  for (const attemptId of runningAttemptIds) {
    const attempt = attempts.get(attemptId);
    if (!attempt) {
      continue;
    }
    prefillTokens += attempt.remainingPromptTokens;
    earliestEndMs = Math.min(
      earliestEndMs,
      serviceRates.serviceMs(
        attempt.remainingPromptTokens,
        attempt.remainingOutputTokens,
      ),
    );
  }
  const prefillMs = prefillTokens / serviceRates.prefillTokensPerS * 1000;
  if (runningAttemptIds.size < pool.max_concurrent_requests) {
    return prefillMs;
  }
  let queuedServiceMs = 0;
  for (const queued of state.queue) {
    queuedServiceMs += serviceRates.serviceMs(
      queued.remainingPromptTokens,
      queued.remainingOutputTokens,
    );
  }
  return prefillMs + earliestEndMs +
    queuedServiceMs / pool.max_concurrent_requests;
}

export function recordMetric(
  ctx: SidecarContext,
  metric: MetricName,
  labels: Readonly<Record<string, string>> = {},
  value = 1,
): void {
  ctx.effects.push({ type: "measure", measurement: { metric, value, labels } });
}
