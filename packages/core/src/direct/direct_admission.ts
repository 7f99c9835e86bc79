import type { Millis } from "../clock.js";
import { initialRequestSnapshot } from "../router/request_machine.js";
import type {
  DirectCall,
  DirectEffect,
  DirectRefusalReason,
} from "./direct_event.js";
import { refusalOf } from "./direct_finish.js";
import { placeRequest, sharedPartOf } from "./direct_place.js";
import {
  type ActiveRequest,
  canServe,
  type DirectState,
  retryWindowOf,
} from "./direct_state.js";
import { pickTarget, type RouteTable } from "./route_table.js";
import type { DirectAccount, DirectRoute } from "./routing_config.js";

/** Deadline of requests whose caller and route name none. */
const DEFAULT_DEADLINE_MS: Millis = 60_000;

/** A caller is answered this long before it stops to wait. */
const ANSWER_MARGIN_MS: Millis = 20;

/** A call that arrives during the start waits this long at the most. */
const START_WAIT_MS: Millis = 800;

/** Part of a call's deadline that it may wait during the start. */
const START_WAIT_SHARE = 0.4;

/**
 * A stopping router takes requests for as long as new callers may still reach
 * it. Later ones could be cut by the end of the process.
 */
const ADMIT_AFTER_STOP_MS: Millis = 3500;

/** Admits a call, or lets it wait while the router starts. */
export function admitCall(
  state: DirectState,
  key: number,
  call: DirectCall,
  nowMs: Millis,
): DirectEffect[] {
  if (
    state.stopping && nowMs - state.stoppingSinceMs > ADMIT_AFTER_STOP_MS
  ) {
    return rejectCall(key, call, "stopping", state.routes?.version);
  }
  return canServe(state) || state.stopping
    ? receiveCall(state, key, call, nowMs, nowMs)
    : holdCall(state, key, call, nowMs);
}

/**
 * Lets a call wait for the first configuration, which arrives a moment after
 * the process starts. A refusal would use up the caller's few retries.
 */
function holdCall(
  state: DirectState,
  key: number,
  call: DirectCall,
  nowMs: Millis,
): DirectEffect[] {
  state.waiting.set(key, { call, receivedMs: nowMs });
  const delayMs = Math.min(
    START_WAIT_MS,
    (call.deadlineMs ?? DEFAULT_DEADLINE_MS) * START_WAIT_SHARE,
  );
  return [{ type: "set_timer", key, timer: "deadline", delayMs }];
}

/** Ends the wait of a call, if it waits. */
export function releaseCall(
  state: DirectState,
  key: number,
  nowMs: Millis,
): DirectEffect[] {
  const held = state.waiting.get(key);
  if (!held) {
    return [];
  }
  state.waiting.delete(key);
  return receiveCall(state, key, held.call, held.receivedMs, nowMs);
}

/** Ends the wait of all calls once the router can serve. */
export function releaseCalls(
  state: DirectState,
  nowMs: Millis,
): DirectEffect[] {
  if (!canServe(state)) {
    return [];
  }
  return [...state.waiting.keys()].flatMap((key) =>
    releaseCall(state, key, nowMs)
  );
}

function receiveCall(
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
  retryWindowOf(state, request.service).noteRequest(nowMs);
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
  nowMs: Millis,
): ActiveRequest {
  const callerMs = call.deadlineMs === undefined
    ? DEFAULT_DEADLINE_MS
    : call.deadlineMs - ANSWER_MARGIN_MS;
  const limitMs = Math.min(callerMs, route.timeoutMs ?? callerMs);
  return {
    key,
    call,
    receivedMs: nowMs,
    route,
    account,
    service: pickTarget(route, sharedPartOf(call) ?? call.callId ?? ""),
    deadlineAtMs: nowMs + Math.max(1, limitMs),
    tried: new Set(),
    snapshot: initialRequestSnapshot,
    attempt: undefined,
    attemptCount: 0,
    possibleRuns: 0,
    answering: false,
    answerStatus: undefined,
    lastRefusal: undefined,
  };
}

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

/** Refuses a call before it becomes a request. */
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
