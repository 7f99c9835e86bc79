import { TokenBucket } from "../admission/token_bucket.js";
import type { Millis } from "../clock.js";
import { RecentCrashes } from "../copies/recent_crashes.js";
import type { RunCopy } from "../copies/run_copy.js";
import { Evacuations } from "../evacuation/index.js";
import {
  type AttemptWork,
  type ExpectedTime,
  RequestCosts,
} from "../cost/index.js";
import type { AccountShares } from "./account_shares.js";
import { PlacementScheduler } from "../overload/index.js";
import type { RequestSnapshot } from "../router/request_machine.js";
import type {
  DirectCall,
  DirectEffect,
  DirectRefusalReason,
} from "./direct_event.js";
import { EndpointDirectory } from "./endpoint_directory.js";
import type { DirectEndpoint } from "./direct_endpoint.js";
import type { CrashCheck } from "./crash_check.js";
import { CrashSuspects } from "./crash_suspects.js";
import type { KnownLimitShare } from "./endpoint_limits.js";
import { FleetSize } from "./fleet_size.js";
import type { RequestLimit } from "./request_limit.js";
import { RetryBalance, type RetryBalanceLimits } from "./retry_balance.js";
import { PrefillRate } from "./prefill_rate.js";
import { RecentStreams } from "./recent_streams.js";
import type { RequestTrait } from "./request_trait.js";
import { RouteDurations } from "./route_durations.js";
import type { RoutingConfigIndex } from "./routing_config_index.js";
import { PromptCacheIndex } from "./prompt_cache_index.js";
import type { StreamHead } from "../stream_continuation.js";
import { type StreamOrigin, StreamOrigins } from "./stream_origins.js";
import type { DirectAccount, DirectRoute } from "./routing_config.js";
import { VersionHistory } from "./version_history.js";

/**
 * Fraction of the budget's retries per request that requests add to the
 * balances. The rest is for retries that reach endpoints late.
 */
const EARNED_FRACTION = 0.9;

/**
 * Fraction of the budget's further retries that the routers may store. The rest
 * is for the initial balances of processes that start.
 */
const STORED_FRACTION = 0.6;

/**
 * A view that was confirmed longer ago than this fraction of the allowed age may
 * be outdated. In a fleet without faults, it is confirmed more often.
 */
const OUTDATED_AGE_FRACTION = 0.6;

/** Initial balance of a process; lets its first rejected requests be retried. */
const INITIAL_RETRIES = 1.5;

/** Maximum balance of a router that does not know the size of its fleet. */
const MAX_RETRIES_ALONE = 3;

const MINOR_SUSPECTS_PER_S = 20;
const MINOR_SUSPECTS_BURST = 64;

/** Settings of a router that sends requests directly to endpoints. */
export interface DirectOptions {
  readonly nodeId: string;
  readonly failureDomain: string;
  /**
   * Retry budget of the platform: number of retries allowed per request to a
   * service, for all routers together.
   */
  readonly retryRatio: number;
  /**
   * Retry budget of the platform: number of further retries to a service that
   * are allowed in any window, for all routers together.
   */
  readonly retryExtra: number;
  /** Load bound of an endpoint, as a multiple of the mean load of its pool. */
  readonly loadMultiple: number;
  /**
   * Whether streams are placed by expected time at services whose endpoints report
   * their pace; not so by default.
   */
  readonly placesByExpectedTime?: boolean | undefined;
  /**
   * Whether urgent runs are copied to a second endpoint all the time, where the
   * service allows it; only for some time after a crash by default.
   */
  readonly alwaysCopiesRuns?: boolean | undefined;
  /** Longest time for which the fleet may act on an outdated view. */
  readonly maxDirectoryAgeMs: Millis;
  /** Time between the signal to stop and the kill of the process. */
  readonly stopGraceMs: Millis;
  /**
   * Whether the router serves only after it learned which requests the fleet has
   * blocked, or has waited for that in vain.
   */
  readonly awaitsSuspects?: boolean;
  /**
   * Time from an order to evacuate a failure domain until no request may reach
   * it; undefined if there are no such orders.
   */
  readonly evacuateMs?: Millis | undefined;
  /** Whether the settings name another router, so that this one is not alone. */
  readonly expectsPeers?: boolean;
  /**
   * Requests that a cold endpoint may get in one second, as a multiple of what it
   * takes. Undefined if cold endpoints are not told apart.
   */
  readonly coldOverrun?: number | undefined;
  /** Requests in one second that a cold endpoint may get in addition. */
  readonly coldSlack?: number | undefined;
  /**
   * Cores that the router has. With less than one, requests wait while it is
   * behind; undefined if it has at least one.
   */
  readonly cpuShare?: number | undefined;
}

/** The attempt of a request that is in progress; replaced on a retry. */
export interface ActiveAttempt {
  readonly number: number;
  readonly endpoint: DirectEndpoint;
  readonly startedMs: Millis;
  /**
   * Prompt tokens that the endpoint had to process before the answer when the
   * attempt started, those of earlier requests included.
   */
  readonly prefillTokens: number;
  /** Work of the attempt at its endpoint, as counted there. */
  readonly work: AttemptWork;
  /** What was expected when the attempt started; undefined if nothing was. */
  readonly forecast: AttemptForecast | undefined;
  /** Version of the endpoint's software when the attempt started. */
  readonly softwareVersion: string | undefined;
  /** Whether status and headers of the answer have arrived. */
  hasHead: boolean;
}

/** What a router expected of an attempt when it chose the endpoint. */
export interface AttemptForecast extends ExpectedTime {
  /** Known number of requests at the endpoint. */
  readonly load: number;
  readonly outputTokens: number;
  /** Whether a part of the prompt is copied instead of being processed. */
  readonly isCopied: boolean;
}

/** State of a question to the directory. */
export type DirectoryQuestion = "not_asked" | "awaited" | "answered" | "failed";

/** Where a request looks for the origin of the stream that it continues. */
export interface OriginLookup {
  awaitsPeers: boolean;
  /** What routers stored of streams. */
  records: DirectoryQuestion;
  /** Which versions serve now. */
  versions: DirectoryQuestion;
  /**
   * Whether all known routers are connected, none is ahead, and none of those that
   * were asked knows the stream. What this router knows of the versions is then
   * all that any router knew when it began streams.
   */
  isFleetConnected: boolean;
  /** Whether the time for the questions is over, and only a read goes on. */
  awaitsReadOnly: boolean;
}

/** A request that the router has accepted and that has not ended. */
export interface ActiveRequest {
  readonly key: number;
  readonly call: DirectCall;
  readonly receivedMs: Millis;
  readonly route: DirectRoute;
  readonly account: DirectAccount | undefined;
  /** Service that the request goes to. */
  service: string;
  readonly deadlineAtMs: Millis;
  /** Ids of the endpoints to which attempts were sent. */
  readonly triedEndpointIds: Set<string>;
  /** State of the request in the state machine of `transitionRequest`. */
  snapshot: RequestSnapshot;
  attempt: ActiveAttempt | undefined;
  attemptCount: number;
  /**
   * Number of ended attempts in which the endpoint may have executed the
   * request.
   */
  possibleExecutions: number;
  /**
   * Where the stream began that the answer is a part of; further attempts go to
   * that version only. Undefined as long as the caller has no event of it.
   */
  origin: StreamOrigin | undefined;
  /** Whether the request is to show if a blocked trait is sound. */
  isTrial: boolean;
  /** Because of which the request was refused. */
  blockedTrait: RequestTrait | undefined;
  /** Who is asked for the origin; undefined if the request waits for no answer. */
  originLookup: OriginLookup | undefined;
  /** Whether the request waits for its placement, since the router is behind. */
  isWaiting: boolean;
  /** Copy of the run at another endpoint; undefined if there is none. */
  copy: RunCopy | undefined;
  /** Whether the head of an answer was relayed to the caller. */
  answerStarted: boolean;
  /** Attempts whose answers were relayed, each with its software version. */
  readonly runs: string[];
  /** Head of the answer that was relayed first; others may continue its stream. */
  relayedHead: StreamHead | undefined;
  /** HTTP status that was sent to the caller, if any. */
  answerStatus: number | undefined;
  /**
   * Why the last attempt failed. If no further attempt can be started, the
   * request is refused with this reason.
   */
  lastFailureReason: DirectRefusalReason | undefined;
}

/**
 * A deferred call, which arrived before the router could serve or which an
 * outdated configuration does not allow.
 */
export interface DeferredCall {
  readonly call: DirectCall;
  readonly receivedMs: Millis;
  /** Lag of the event loop when the call was read, if it was measured. */
  readonly lagMs?: Millis | undefined;
}

export interface DirectState {
  readonly options: DirectOptions;
  readonly directory: EndpointDirectory;
  readonly promptCacheIndex: PromptCacheIndex;
  readonly requests: Map<number, ActiveRequest>;
  /** Balances of retries by service. */
  readonly retryBalances: Map<string, RetryBalance>;
  readonly streamOrigins: StreamOrigins;
  readonly recentStreams: RecentStreams;
  readonly versionHistory: VersionHistory;
  /** Since when the router knows endpoints; undefined if it knows none yet. */
  endpointsKnownSinceMs: Millis | undefined;
  /** Whether the router has read which versions served before its start. */
  hasReadStreamRecords: boolean;
  /** Endpoints that are checked after an attempt broke off, by id. */
  readonly crashChecks: Map<string, CrashCheck>;
  /** Requests that wait to know whether the run that broke off has ended. */
  readonly interruptedRequests: Set<ActiveRequest>;
  /** When endpoints crashed; decides whether runs are copied. */
  readonly recentCrashes: RecentCrashes;
  /** Addresses at which it is checked whether the process has ended. */
  readonly endChecks: Set<string>;
  readonly crashSuspects: CrashSuspects;
  /**
   * Limits the suspects with a single crash that this router sends to others,
   * since a failure domain that is lost makes many of them at once.
   */
  readonly minorSuspectsBucket: TokenBucket;
  readonly evacuations: Evacuations;
  /** Whether the router has learned which failure domains are evacuated. */
  evacuationsKnown: boolean;
  /** Whether the router has learned what the fleet suspects. */
  suspectsKnown: boolean;
  /** Time of the first tick after which only these two were not known. */
  suspectsAwaitedSinceMs: Millis | undefined;
  /** How accounts share what endpoints with limits take, by service. */
  readonly accountShares: Map<string, AccountShares>;
  /** This router's shares of limits that not all routers share. */
  readonly limitShares: WeakMap<RequestLimit, KnownLimitShare>;
  /** Endpoints that count as cold; the end of that has not been logged yet. */
  readonly coldEndpoints: Set<DirectEndpoint>;
  /** Whether the router has had a list of endpoints. */
  hasEndpointList: boolean;
  /** Times of the first and the last event `router_count_observed`. */
  routersObservedSinceMs: Millis | undefined;
  routersObservedMs: Millis;
  /** Whether this router makes the trials of blocked requests. */
  isFirstRouter: boolean;
  readonly prefillRates: Map<string, PrefillRate>;
  readonly requestCosts: RequestCosts;
  /**
   * Moving average of the time from the start of an attempt to the head of its
   * answer, by name of the route.
   */
  readonly typicalTimeToHeadMs: Map<string, Millis>;
  readonly routeDurations: RouteDurations;
  /**
   * Deferred calls by key. They wait for the first configuration and endpoints,
   * or for a confirmed view.
   */
  readonly deferredCalls: Map<number, DeferredCall>;
  /** Undefined if requests are always placed at once. */
  readonly placementScheduler: PlacementScheduler | undefined;
  configIndex: RoutingConfigIndex | undefined;
  /** Newest version of the configuration that another router has announced. */
  announcedConfigVersion: number;
  /** The routers of the fleet share retry budgets and the load of endpoints. */
  readonly fleetSize: FleetSize;
  /**
   * When configuration and endpoints were last known to be up to date;
   * undefined if they never were.
   */
  directoryConfirmedMs: Millis | undefined;
  directoryAvailable: boolean;
  /**
   * Until this time, an endpoint may be missing in the directory because of a
   * recent outage of the directory.
   */
  directoryUnreliableUntilMs: Millis;
  /**
   * Until this time, the directory may list endpoints as they were before it
   * was restored from an older copy.
   */
  directoryOutdatedUntilMs: Millis;
  stopping: boolean;
  /** Time of the event `stopping`; 0 until that event. */
  stoppingSinceMs: Millis;
}

export function createDirectState(options: DirectOptions): DirectState {
  return {
    options,
    directory: new EndpointDirectory(),
    promptCacheIndex: new PromptCacheIndex(),
    requests: new Map(),
    retryBalances: new Map(),
    streamOrigins: new StreamOrigins(),
    recentStreams: new RecentStreams(),
    versionHistory: new VersionHistory(),
    endpointsKnownSinceMs: undefined,
    hasReadStreamRecords: false,
    crashChecks: new Map(),
    interruptedRequests: new Set(),
    recentCrashes: new RecentCrashes(),
    endChecks: new Set(),
    crashSuspects: new CrashSuspects(),
    minorSuspectsBucket: new TokenBucket(
      MINOR_SUSPECTS_PER_S,
      MINOR_SUSPECTS_BURST,
      0,
    ),
    evacuations: new Evacuations(options.evacuateMs),
    evacuationsKnown: options.evacuateMs === undefined,
    suspectsKnown: !options.awaitsSuspects,
    suspectsAwaitedSinceMs: undefined,
    accountShares: new Map(),
    limitShares: new WeakMap(),
    coldEndpoints: new Set(),
    hasEndpointList: false,
    routersObservedSinceMs: undefined,
    routersObservedMs: 0,
    isFirstRouter: false,
    prefillRates: new Map(),
    requestCosts: new RequestCosts(),
    typicalTimeToHeadMs: new Map(),
    routeDurations: new RouteDurations(),
    deferredCalls: new Map(),
    placementScheduler: (options.cpuShare ?? 1) < 1
      ? new PlacementScheduler()
      : undefined,
    configIndex: undefined,
    announcedConfigVersion: 0,
    fleetSize: new FleetSize(),
    directoryConfirmedMs: undefined,
    directoryAvailable: false,
    directoryUnreliableUntilMs: 0,
    directoryOutdatedUntilMs: 0,
    stopping: false,
    stoppingSinceMs: 0,
  };
}

/**
 * Whether the router has a configuration and endpoints, knows which requests are
 * blocked and which domains are evacuated, and is not stopping.
 */
export function canServe(state: DirectState): boolean {
  return hasDirectory(state) && state.suspectsKnown &&
    state.evacuationsKnown && !state.stopping;
}

/** Whether the router has a configuration and endpoints. */
export function hasDirectory(state: DirectState): boolean {
  return state.configIndex !== undefined && state.directory.size > 0;
}

/**
 * Whether the directory is unavailable or was so until recently. An endpoint
 * that the directory does not list may then still exist.
 */
export function isDirectoryUnreliable(
  state: DirectState,
  nowMs: Millis,
): boolean {
  return !state.directoryAvailable || nowMs < state.directoryUnreliableUntilMs;
}

/**
 * Number of this router's requests in flight by endpoint id; omits endpoints
 * without requests.
 */
export function localInFlightByEndpoint(
  state: DirectState,
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const endpoint of state.directory.all()) {
    if (endpoint.localInFlight > 0) {
      counts[endpoint.id] = endpoint.localInFlight;
    }
  }
  return counts;
}

/**
 * Time since configuration and endpoints were last known to be up to date;
 * undefined if they never were.
 */
export function directoryAgeMs(
  { directoryConfirmedMs }: DirectState,
  nowMs: Millis,
): Millis | undefined {
  return directoryConfirmedMs === undefined
    ? undefined
    : Math.round(nowMs - directoryConfirmedMs);
}

/**
 * Whether the configuration may be outdated and will be confirmed or replaced
 * soon: another router has a newer one, or the directory is available and has
 * not confirmed it for long, as after a pause of the process.
 */
export function isConfigOutdated(state: DirectState, nowMs: Millis): boolean {
  if (state.announcedConfigVersion > (state.configIndex?.version ?? 0)) {
    return true;
  }
  return state.directoryAvailable && isOutdated(state, nowMs);
}

/** Whether the view was not confirmed for longer than in a fleet without faults. */
function isOutdated(state: DirectState, nowMs: Millis): boolean {
  const ageMs = directoryAgeMs(state, nowMs) ?? 0;
  return ageMs > state.options.maxDirectoryAgeMs * OUTDATED_AGE_FRACTION;
}

/**
 * Whether an endpoint may serve the request. A stream that has begun stays at
 * the software version that began it. Versions of different services have
 * nothing in common, so a stream whose route has moved may go to any.
 */
export function isEligible(
  state: DirectState,
  { origin, service }: ActiveRequest,
  endpoint: DirectEndpoint,
  nowMs: Millis,
): boolean {
  return origin === undefined || origin.service !== service ||
    !origin.isUncertain &&
      endpoint.record.softwareVersion === origin.softwareVersion &&
      isProcessKnown(state, endpoint, nowMs);
}

/**
 * Whether the process behind an endpoint is that of its entry, as far as this
 * router can know. While versions change, closed connections count as a sign that
 * it has ended, and an old list needs a connection from before.
 */
function isProcessKnown(
  state: DirectState,
  endpoint: DirectEndpoint,
  nowMs: Millis,
): boolean {
  const confirmedMs = state.directoryConfirmedMs ?? 0;
  if (endpoint.isReplaced(confirmedMs)) {
    return false;
  }
  return !hasSeveralVersions(state, endpoint, nowMs) ||
    !endpoint.hasClosedConnectionsSince(confirmedMs) &&
      (!isOutdated(state, nowMs) || endpoint.isConnectedToProcess(confirmedMs));
}

/**
 * Whether a stream that begins at an endpoint may be of another software version
 * than its entry names. That needs a sign that the process has ended, since no
 * version continues such a stream.
 */
export function hasUncertainVersion(
  state: DirectState,
  endpoint: DirectEndpoint,
  nowMs: Millis,
): boolean {
  const confirmedMs = state.directoryConfirmedMs ?? 0;
  return endpoint.isReplaced(confirmedMs) ||
    endpoint.hasClosedConnectionsSince(confirmedMs) &&
      isOutdated(state, nowMs) && hasSeveralVersions(state, endpoint, nowMs);
}

function hasSeveralVersions(
  { versionHistory }: DirectState,
  { record }: DirectEndpoint,
  nowMs: Millis,
): boolean {
  return versionHistory.servedOfLate(record.service, nowMs).length > 1;
}

/** Returns the retry balance of a service; creates it on first use. */
export function retryBalanceOf(
  state: DirectState,
  service: string,
): RetryBalance {
  const known = state.retryBalances.get(service);
  if (known) {
    return known;
  }
  const balance = new RetryBalance(
    Math.min(INITIAL_RETRIES, state.options.retryExtra),
  );
  state.retryBalances.set(service, balance);
  return balance;
}

/** This router's part of the fleet's retry budget for each service. */
export function retryLimitsOf(
  { fleetSize, options }: DirectState,
): RetryBalanceLimits {
  return {
    retriesPerRequest: options.retryRatio * EARNED_FRACTION,
    maxRetries: fleetSize.isKnown
      ? Math.max(1, options.retryExtra * STORED_FRACTION / fleetSize.routers)
      : MAX_RETRIES_ALONE,
  };
}

/** Returns the prefill rate of a service; creates it on first use. */
export function prefillRateOf(
  state: DirectState,
  service: string,
): PrefillRate {
  const known = state.prefillRates.get(service);
  if (known) {
    return known;
  }
  const rate = new PrefillRate();
  state.prefillRates.set(service, rate);
  return rate;
}

/** Calls `handle` if the request with this key has not ended. */
export function ifActiveRequest(
  state: DirectState,
  key: number,
  handle: (request: ActiveRequest) => DirectEffect[],
): DirectEffect[] {
  const request = state.requests.get(key);
  return request ? handle(request) : [];
}

/**
 * Calls `handle` if the attempt is the current one of its request. Events of
 * earlier attempts, which were replaced or abandoned, are ignored.
 */
export function ifCurrentAttempt(
  state: DirectState,
  { key, attemptNumber }: {
    readonly key: number;
    readonly attemptNumber: number;
  },
  handle: (request: ActiveRequest, attempt: ActiveAttempt) => DirectEffect[],
): DirectEffect[] {
  return ifActiveRequest(
    state,
    key,
    (request) =>
      request.attempt?.number === attemptNumber
        ? handle(request, request.attempt)
        : [],
  );
}
