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
import { PromptCacheIndex } from "./warmth_index.js";
import type { DirectAccount, DirectRoute } from "./routing_config.js";

/** What the deployment prescribes. */
export interface DirectOptions {
  readonly nodeId: string;
  readonly failureDomain: string;
  /** Retries of a service for each request to it, over all routers. */
  readonly retryRatio: number;
  /** Retries of a service in a window beside those, over all routers. */
  readonly retryExtra: number;
  readonly retryWindowMs: Millis;
  /** Load of an endpoint over the mean of its pool that is kept. */
  readonly loadMultiple: number;
}

/** The attempt that a request has in progress. */
export interface ActiveAttempt {
  readonly number: number;
  readonly endpoint: DirectEndpoint;
  readonly startedMs: Millis;
  hasHead: boolean;
}

/** A request between its receipt and its last answer. */
export interface ActiveRequest {
  readonly key: number;
  readonly call: DirectCall;
  readonly receivedMs: Millis;
  readonly route: DirectRoute;
  readonly account: DirectAccount | undefined;
  readonly service: string;
  readonly deadlineAtMs: Millis;
  readonly tried: Set<string>;
  snapshot: RequestSnapshot;
  attempt: ActiveAttempt | undefined;
  attemptCount: number;
  /** Attempts that may have run. */
  possibleRuns: number;
  /** The head of an answer went to the caller. */
  answering: boolean;
  /** Status that the caller got, or gets now. */
  answerStatus: number | undefined;
  lastRefusal: DirectRefusalReason | undefined;
}

/** A call that arrived before the router knew how to serve it. */
export interface WaitingCall {
  readonly call: DirectCall;
  readonly receivedMs: Millis;
}

export interface DirectState {
  readonly options: DirectOptions;
  readonly directory: EndpointDirectory;
  readonly promptCacheIndex: PromptCacheIndex;
  readonly requests: Map<number, ActiveRequest>;
  readonly retryWindows: Map<string, RetryWindow>;
  /** Usual time to the first bytes of an answer, by route. */
  readonly firstByteMs: Map<string, Millis>;
  /** Calls by key that wait for the first configuration and endpoints. */
  readonly waiting: Map<number, WaitingCall>;
  routes: RouteTable | undefined;
  /** Routers that share the retry budgets, this one included. */
  routerCount: number;
  storeAvailable: boolean;
  /** Until then removals may be the trace of an outage. */
  disturbedUntilMs: Millis;
  stopping: boolean;
  stoppingSinceMs: Millis;
}

export function createDirectState(options: DirectOptions): DirectState {
  return {
    options,
    directory: new EndpointDirectory(),
    promptCacheIndex: new PromptCacheIndex(),
    requests: new Map(),
    retryWindows: new Map(),
    firstByteMs: new Map(),
    waiting: new Map(),
    routes: undefined,
    routerCount: 1,
    storeAvailable: false,
    disturbedUntilMs: 0,
    stopping: false,
    stoppingSinceMs: 0,
  };
}

/** Whether the router can serve: it knows a configuration and endpoints. */
export function canServe(state: DirectState): boolean {
  return state.routes !== undefined && state.directory.size > 0 &&
    !state.stopping;
}

/** Whether what the directory no longer lists may be the trace of an outage. */
export function isDirectoryUnreliable(
  state: DirectState,
  nowMs: Millis,
): boolean {
  return !state.storeAvailable || nowMs < state.disturbedUntilMs;
}

/** Requests of this router in flight, by endpoint. */
export function localInFlightByEndpoint(
  state: DirectState,
): Record<string, number> {
  const loads: Record<string, number> = {};
  for (const view of state.directory.all()) {
    if (view.ownInFlight > 0) {
      loads[view.id] = view.ownInFlight;
    }
  }
  return loads;
}

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

/** Handles an event of a request that is still open. */
export function withRequest(
  state: DirectState,
  key: number,
  handle: (request: ActiveRequest) => DirectEffect[],
): DirectEffect[] {
  const request = state.requests.get(key);
  return request ? handle(request) : [];
}

/** Events of attempts that were replaced or given up change nothing. */
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
