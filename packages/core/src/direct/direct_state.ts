import type { Millis } from "../clock.js";
import type { RequestSnapshot } from "../router/request_machine.js";
import type {
  DirectCall,
  DirectEffect,
  DirectRefusalReason,
} from "./direct_event.js";
import { EndpointDirectory } from "./endpoint_directory.js";
import type { DirectEndpoint } from "./direct_endpoint.js";
import { RetryWindow } from "./retry_window.js";
import type { RouteTable } from "./route_table.js";
import { PromptCacheIndex } from "./prompt_cache_index.js";
import type { DirectAccount, DirectRoute } from "./routing_config.js";

/** Settings of a router without sidecars. */
export interface DirectOptions {
  readonly nodeId: string;
  readonly failureDomain: string;
  /** Retries allowed per request to a service, over all routers. */
  readonly retryRatio: number;
  /**
   * Retries of a service allowed per window in addition, whatever the number of
   * its requests, over all routers.
   */
  readonly retryExtra: number;
  readonly retryWindowMs: Millis;
  /** Load bound of an endpoint, as a multiple of the mean load of its pool. */
  readonly loadMultiple: number;
}

/** The attempt that a request has in progress. */
export interface ActiveAttempt {
  readonly number: number;
  readonly endpoint: DirectEndpoint;
  readonly startedMs: Millis;
  hasHead: boolean;
}

/** A request that has been accepted and has not ended. */
export interface ActiveRequest {
  readonly key: number;
  readonly call: DirectCall;
  readonly receivedMs: Millis;
  readonly route: DirectRoute;
  readonly account: DirectAccount | undefined;
  readonly service: string;
  readonly deadlineAtMs: Millis;
  /** Ids of the endpoints that attempts were sent to. */
  readonly tried: Set<string>;
  snapshot: RequestSnapshot;
  attempt: ActiveAttempt | undefined;
  attemptCount: number;
  /** Number of ended attempts whose request the endpoint may have executed. */
  possibleRuns: number;
  /** The head of an answer was relayed to the caller. */
  answerStarted: boolean;
  /** Status that was sent to the caller. */
  answerStatus: number | undefined;
  lastRefusal: DirectRefusalReason | undefined;
}

/** A call that arrived before the first configuration or endpoint list. */
export interface PendingCall {
  readonly call: DirectCall;
  readonly receivedMs: Millis;
}

export interface DirectState {
  readonly options: DirectOptions;
  readonly directory: EndpointDirectory;
  readonly promptCacheIndex: PromptCacheIndex;
  readonly requests: Map<number, ActiveRequest>;
  readonly retryWindows: Map<string, RetryWindow>;
  /**
   * Moving average, by route, of the time from the start of an attempt to the
   * head of its answer.
   */
  readonly typicalFirstByteMs: Map<string, Millis>;
  /** Calls that wait for the first configuration and endpoints, by key. */
  readonly pendingCalls: Map<number, PendingCall>;
  routes: RouteTable | undefined;
  /** Routers that share the retry budgets, this one included. */
  routerCount: number;
  storeAvailable: boolean;
  /**
   * Until this time, the removal of an endpoint may result from a recent outage
   * of the directory.
   */
  directoryUnreliableUntilMs: Millis;
  stopping: boolean;
  /** Time of the event `stopping`; 0 before it. */
  stoppingSinceMs: Millis;
}

export function createDirectState(options: DirectOptions): DirectState {
  return {
    options,
    directory: new EndpointDirectory(),
    promptCacheIndex: new PromptCacheIndex(),
    requests: new Map(),
    retryWindows: new Map(),
    typicalFirstByteMs: new Map(),
    pendingCalls: new Map(),
    routes: undefined,
    routerCount: 1,
    storeAvailable: false,
    directoryUnreliableUntilMs: 0,
    stopping: false,
    stoppingSinceMs: 0,
  };
}

/** Whether the router has a configuration and endpoints and is not stopping. */
export function canServe(state: DirectState): boolean {
  return state.routes !== undefined && state.directory.size > 0 &&
    !state.stopping;
}

/**
 * Whether the directory is unavailable or was until recently. An endpoint that
 * it does not list may then still exist.
 */
export function isDirectoryUnreliable(
  state: DirectState,
  nowMs: Millis,
): boolean {
  return !state.storeAvailable || nowMs < state.directoryUnreliableUntilMs;
}

/** Requests of this router in flight, by endpoint; omits idle endpoints. */
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

/** The retry window of a service, created on first use. */
export function retryWindowOf(
  state: DirectState,
  service: string,
): RetryWindow {
  const known = state.retryWindows.get(service);
  if (known) {
    return known;
  }
  const window = new RetryWindow(state.options.retryWindowMs);
  state.retryWindows.set(service, window);
  return window;
}

/** Calls `handle` if the request has not ended; otherwise has no effects. */
export function withRequest(
  state: DirectState,
  key: number,
  handle: (request: ActiveRequest) => DirectEffect[],
): DirectEffect[] {
  const request = state.requests.get(key);
  return request ? handle(request) : [];
}

/**
 * Calls `handle` if the attempt is the current one of its request. Events of
 * attempts that were replaced or abandoned have no effects.
 */
export function withAttempt(
  state: DirectState,
  { key, attempt }: { readonly key: number; readonly attempt: number },
  handle: (request: ActiveRequest, attempt: ActiveAttempt) => DirectEffect[],
): DirectEffect[] {
  return withRequest(
    state,
    key,
    (request) =>
      request.attempt?.number === attempt
        ? handle(request, request.attempt)
        : [],
  );
}
