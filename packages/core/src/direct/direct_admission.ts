import type { Millis } from "../clock.js";
import { initialRequestSnapshot } from "../router/request_machine.js";
import type {
  DirectCall,
  DirectEffect,
  DirectRefusalReason,
} from "./direct_event.js";
import { refusalOf } from "./direct_finish.js";
import { placeRequest, sharedPartIdOf } from "./direct_place.js";
import {
  type ActiveRequest,
  canServe,
  type DirectState,
  retryWindowOf,
} from "./direct_state.js";
import { pickTarget, type RouteTable } from "./route_table.js";
import type { DirectAccount, DirectRoute } from "./routing_config.js";

/** Deadline of requests for which neither caller nor route sets one. */
const DEFAULT_DEADLINE_MS: Millis = 60_000;

/** The router answers at least this long before the caller stops waiting. */
const ANSWER_MARGIN_MS: Millis = 20;

/** Longest wait of a call that arrives while the router starts. */
const START_WAIT_MS: Millis = 800;

/** Fraction of its deadline that a call may wait while the router starts. */
const START_WAIT_FRACTION = 0.4;

/**
 * A stopping router accepts requests for this long, because new callers may
 * still reach it. The end of the process could cut off later requests.
 */
const ADMIT_WHILE_STOPPING_MS: Millis = 3500;

/** Accepts a call, defers it while the router starts, or refuses it. */
export function admitCall(
  state: DirectState,
  key: number,
  call: DirectCall,
  nowMs: Millis,
): DirectEffect[] {
  if (
    state.stopping && nowMs - state.stoppingSinceMs > ADMIT_WHILE_STOPPING_MS
  ) {
    return rejectCall(key, call, "stopping", state.routes?.version);
  }
  return canServe(state) || state.stopping
    ? startRequest(state, key, call, nowMs, nowMs)
    : deferCall(state, key, call, nowMs);
}

/**
 * Defers a call until the first configuration and endpoints are known, which
 * is soon after the start of the process. A refusal would use up the caller's
 * few retries.
 */
function deferCall(
  state: DirectState,
  key: number,
  call: DirectCall,
  nowMs: Millis,
): DirectEffect[] {
  state.pendingCalls.set(key, { call, receivedMs: nowMs });
  const delayMs = Math.min(
    START_WAIT_MS,
    (call.deadlineMs ?? DEFAULT_DEADLINE_MS) * START_WAIT_FRACTION,
  );
  return [{ type: "set_timer", key, timer: "deadline", delayMs }];
}

/** Processes a deferred call now; does nothing if the call is not deferred. */
export function admitPendingCall(
  state: DirectState,
  key: number,
  nowMs: Millis,
): DirectEffect[] {
  const pending = state.pendingCalls.get(key);
  if (!pending) {
    return [];
  }
  state.pendingCalls.delete(key);
  return startRequest(state, key, pending.call, pending.receivedMs, nowMs);
}

/** Processes all deferred calls if the router can serve. */
export function admitPendingCalls(
  state: DirectState,
  nowMs: Millis,
): DirectEffect[] {
  if (!canServe(state)) {
    return [];
  }
  return [...state.pendingCalls.keys()].flatMap((key) =>
    admitPendingCall(state, key, nowMs)
  );
}

/** Checks limits, route and API key, then places the request. */
function startRequest(
  state: DirectState,
  key: number,
  call: DirectCall,
  receivedMs: Millis,
  nowMs: Millis,
): DirectEffect[] {
  const { routes } = state;
  if (!routes) {
    return rejectCall(key, call, "no_config", undefined);
  }
  const { limits } = routes.config;
  if (call.headerBytes > limits.maxHeaderBytes) {
    return rejectCall(key, call, "header_too_large", routes.version);
  }
  if (call.bodyBytes > limits.maxBodyBytes) {
    return rejectCall(key, call, "body_too_large", routes.version);
  }
  const route = routes.match(call.host, call.path);
  if (!route) {
    return rejectCall(key, call, "no_route", routes.version);
  }
  const account = accountOf(routes, route, call);
  if (account === "unknown") {
    return rejectCall(key, call, "unknown_key", routes.version);
  }
  const request = createRequest(key, call, route, account, receivedMs);
  state.requests.set(key, request);
  retryWindowOf(state, request.service).recordRequest(nowMs);
  return [
    {
      type: "set_timer",
      key,
      timer: "deadline",
      delayMs: request.deadlineAtMs - nowMs,
    },
    ...placeRequest(state, request, nowMs),
  ];
}

function createRequest(
  key: number,
  call: DirectCall,
  route: DirectRoute,
  account: DirectAccount | undefined,
  receivedMs: Millis,
): ActiveRequest {
  const callerMs = call.deadlineMs === undefined
    ? DEFAULT_DEADLINE_MS
    : call.deadlineMs - ANSWER_MARGIN_MS;
  const limitMs = Math.min(callerMs, route.timeoutMs ?? callerMs);
  return {
    key,
    call,
    receivedMs,
    route,
    account,
    service: pickTarget(route, sharedPartIdOf(call) ?? call.callId ?? ""),
    deadlineAtMs: receivedMs + Math.max(1, limitMs),
    tried: new Set(),
    snapshot: initialRequestSnapshot,
    attempt: undefined,
    attemptCount: 0,
    possibleRuns: 0,
    answerStarted: false,
    answerStatus: undefined,
    lastRefusal: undefined,
  };
}

/**
 * Account of a call's API key, or "unknown" if the route requires a key and the
 * call's key is missing or not known. Undefined if no key is needed and no
 * known one is given.
 */
function accountOf(
  routes: RouteTable,
  route: DirectRoute,
  call: DirectCall,
): DirectAccount | undefined | "unknown" {
  if (!routes.needsKeys) {
    return undefined;
  }
  const account = call.apiKey === undefined
    ? undefined
    : routes.accountOf(call.apiKey);
  return account ?? (route.open ? undefined : "unknown");
}

/** Refuses a call for which no request was created. */
function rejectCall(
  key: number,
  call: DirectCall,
  reason: DirectRefusalReason,
  configVersion: number | undefined,
): DirectEffect[] {
  const refusal = refusalOf(reason, false);
  return [
    { type: "refuse", key, refusal },
    { type: "remove_request", key },
    {
      type: "log",
      event: "direct_call_rejected",
      fields: {
        request_id: call.callId,
        host: call.host,
        reason,
        status: refusal.status,
        config_version: configVersion,
      },
    },
    {
      type: "measure",
      measurement: {
        metric: "direct_rejections_total",
        value: 1,
        labels: { reason },
      },
    },
  ];
}
