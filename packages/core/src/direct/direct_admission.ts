import type { Millis } from "../clock.js";
import { initialRequestSnapshot } from "../router/request_machine.js";
import type {
  CallHead,
  DirectCall,
  DirectEffect,
  DirectRefusalReason,
} from "./direct_event.js";
import { rejectCall } from "./direct_finish.js";
import { affinityPartIdOf } from "./affinity_key.js";
import { canEndBeforeStop } from "./planned_stop.js";
import {
  type ActiveRequest,
  canServe,
  type DeferredCall,
  type DirectState,
  isConfigOutdated,
} from "./direct_state.js";
import { pickTarget, type RoutingConfigIndex } from "./routing_config_index.js";
import type { DirectAccount, DirectRoute } from "./routing_config.js";
import { placeOrWait } from "./waiting_requests.js";

/**
 * Deadline of a request if its caller sets none; a route may set a shorter one.
 */
const DEFAULT_DEADLINE_MS: Millis = 60_000;

/** Longest deadline of a request; a timer cannot hold much longer ones. */
const MAX_DEADLINE_MS: Millis = 86_400_000;

/**
 * The deadline of a request is earlier than the caller's deadline by at least
 * this time, so that the router's answer reaches the caller in time.
 */
const ANSWER_MARGIN_MS: Millis = 20;

/** Maximum time for which a call is deferred while the router starts. */
const MAX_DEFERRAL_MS: Millis = 800;

/**
 * While the router starts, a call is deferred for at most this fraction of its
 * deadline.
 */
const MAX_DEFERRAL_FRACTION = 0.4;

/**
 * Maximum time for which a call is deferred that an outdated configuration does
 * not allow.
 */
const MAX_OUTDATED_DEFERRAL_MS: Millis = 500;

/** Starts a request for a call, defers the call, or refuses it. */
export function admitCall(
  state: DirectState,
  key: number,
  received: DeferredCall,
  nowMs: Millis,
): DirectEffect[] {
  return canServe(state) || state.stopping
    ? startRequest(state, key, received, nowMs, "received")
    : deferCall(state, key, received, MAX_DEFERRAL_MS);
}

/**
 * Defers a call until the router has its first configuration and endpoints,
 * which it gets soon after the start of the process, or until its view is
 * confirmed. A refusal would use up one of the caller's few retries, or end them.
 */
function deferCall(
  state: DirectState,
  key: number,
  deferred: DeferredCall,
  maxDelayMs: Millis,
): DirectEffect[] {
  state.deferredCalls.set(key, deferred);
  const delayMs = Math.min(
    maxDelayMs,
    (deferred.call.deadlineMs ?? DEFAULT_DEADLINE_MS) * MAX_DEFERRAL_FRACTION,
  );
  return [{ type: "set_timer", key, timer: "deadline", delayMs }];
}

/**
 * How a call reaches the checks: `received` just now, `waiting` after it was
 * deferred, or `overdue`, so that it must not be deferred any longer.
 */
type CallPhase = "received" | "waiting" | "overdue";

/**
 * Refuses a call that the configuration does not allow, or defers it if the
 * configuration may be outdated.
 */
function rejectOrDefer(
  state: DirectState,
  key: number,
  deferred: DeferredCall,
  nowMs: Millis,
  reason: DirectRefusalReason,
  phase: CallPhase,
): DirectEffect[] {
  if (phase === "overdue" || !isConfigOutdated(state, nowMs)) {
    return rejectCall(state, key, deferred.call, nowMs, reason);
  }
  if (phase === "received") {
    return deferCall(state, key, deferred, MAX_OUTDATED_DEFERRAL_MS);
  }
  state.deferredCalls.set(key, deferred);
  return [];
}

/**
 * Ends the deferral of a call whose time is over, and starts its request or
 * refuses it. Has no effect if the call is not deferred.
 */
export function endDeferral(
  state: DirectState,
  key: number,
  nowMs: Millis,
): DirectEffect[] {
  return admitDeferredCall(state, key, nowMs, "overdue");
}

function admitDeferredCall(
  state: DirectState,
  key: number,
  nowMs: Millis,
  phase: CallPhase,
): DirectEffect[] {
  const deferred = state.deferredCalls.get(key);
  if (!deferred) {
    return [];
  }
  state.deferredCalls.delete(key);
  return startRequest(state, key, deferred, nowMs, phase);
}

/** Starts requests for all deferred calls if the router can serve them now. */
export function admitDeferredCalls(
  state: DirectState,
  nowMs: Millis,
): DirectEffect[] {
  if (!canServe(state)) {
    return [];
  }
  return [...state.deferredCalls.keys()].flatMap((key) =>
    admitDeferredCall(state, key, nowMs, "waiting")
  );
}

/**
 * Checks a call against the size limits, the routes and the API keys, and
 * places a request for it or refuses it.
 */
function startRequest(
  state: DirectState,
  key: number,
  deferred: DeferredCall,
  nowMs: Millis,
  phase: CallPhase,
): DirectEffect[] {
  const { call, receivedMs } = deferred;
  const { configIndex } = state;
  if (!configIndex) {
    return rejectCall(state, key, call, nowMs, "no_config");
  }
  const checked = checkCall(configIndex, call);
  if (checked === "no_route" || checked === "unknown_key") {
    return rejectOrDefer(state, key, deferred, nowMs, checked, phase);
  }
  if (typeof checked === "string") {
    return rejectCall(state, key, call, nowMs, checked);
  }
  const { account, route } = checked;
  const request = createRequest(key, call, route, account, receivedMs);
  if (state.stopping && !canEndBeforeStop(state, request, nowMs)) {
    return rejectCall(state, key, call, nowMs, "stopping");
  }
  state.requests.set(key, request);
  return [
    {
      type: "set_timer",
      key,
      timer: "deadline",
      delayMs: request.deadlineAtMs - nowMs,
    },
    ...placeOrWait(
      state,
      request,
      phase === "received"
        ? { nowMs, turnMs: receivedMs, lagMs: deferred.lagMs }
        : { nowMs, turnMs: nowMs, lagMs: undefined },
    ),
  ];
}

/** Route and account of a call that the configuration allows. */
interface AllowedCall {
  readonly route: DirectRoute;
  readonly account: DirectAccount | undefined;
}

/** Returns why the configuration does not allow a call, or its route and account. */
function checkCall(
  configIndex: RoutingConfigIndex,
  call: CallHead,
): AllowedCall | DirectRefusalReason {
  const { limits } = configIndex.config;
  if (call.headerBytes > limits.maxHeaderBytes) {
    return "header_too_large";
  }
  if (call.bodyBytes > limits.maxBodyBytes) {
    return "body_too_large";
  }
  const route = configIndex.match(call.host, call.path);
  if (!route) {
    return "no_route";
  }
  const account = accountOf(configIndex, route, call);
  return account === "unknown" ? "unknown_key" : { route, account };
}

/**
 * Returns why a call will be refused whatever its body is, so that the body need not
 * be read. Undefined if the body decides, or if the call would be deferred.
 *
 * @param call Head of the call, without any bytes of its body.
 */
export function headRefusal(
  state: DirectState,
  call: CallHead,
  nowMs: Millis,
): DirectRefusalReason | undefined {
  const { configIndex } = state;
  if (!configIndex || !canServe(state) || isConfigOutdated(state, nowMs)) {
    return undefined;
  }
  const checked = checkCall(configIndex, call);
  return typeof checked === "string" ? checked : undefined;
}

function createRequest(
  key: number,
  call: DirectCall,
  route: DirectRoute,
  account: DirectAccount | undefined,
  receivedMs: Millis,
): ActiveRequest {
  const callerDeadlineMs = call.deadlineMs === undefined
    ? DEFAULT_DEADLINE_MS
    : call.deadlineMs - ANSWER_MARGIN_MS;
  const limitMs = Math.min(
    MAX_DEADLINE_MS,
    callerDeadlineMs,
    route.timeoutMs ?? callerDeadlineMs,
  );
  return {
    key,
    call,
    receivedMs,
    route,
    account,
    service: pickTarget(route, affinityPartIdOf(call) ?? call.callId ?? ""),
    deadlineAtMs: receivedMs + Math.max(1, limitMs),
    triedEndpointIds: new Set(),
    snapshot: initialRequestSnapshot,
    attempt: undefined,
    attemptCount: 0,
    possibleExecutions: 0,
    origin: undefined,
    isTrial: false,
    blockedTrait: undefined,
    originLookup: undefined,
    isWaiting: false,
    copy: undefined,
    answerStarted: false,
    runs: [],
    relayedHead: undefined,
    answerStatus: undefined,
    lastFailureReason: undefined,
  };
}

/**
 * Returns the account that the API key of a call belongs to. If there is no
 * such account, returns "unknown" on a route that requires a key, and undefined
 * on other routes.
 */
function accountOf(
  configIndex: RoutingConfigIndex,
  route: DirectRoute,
  call: CallHead,
): DirectAccount | undefined | "unknown" {
  if (!configIndex.needsKeys) {
    return undefined;
  }
  const account = call.apiKey === undefined
    ? undefined
    : configIndex.accountOf(call.apiKey);
  return account ?? (route.open ? undefined : "unknown");
}
