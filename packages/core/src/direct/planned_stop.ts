// Ends a router so that no request is cut: what cannot end in time is refused, and
// what has not ended in time is answered.

import type { Millis } from "../clock.js";
import type { DirectEffect } from "./direct_event.js";
import { endAttemptEarly, rejectCall } from "./direct_finish.js";
import type { ActiveRequest, DirectState } from "./direct_state.js";

/** A stopping process answers what is left this long before it would be killed. */
export const STOP_MARGIN_MS: Millis = 300;

/**
 * A stopping router accepts requests for this long, because callers may still
 * open connections to it. The platform expects every request to be completed that
 * is sent later than 3 s after the signal, which may reach a busy process with a
 * delay.
 */
const ACCEPT_WHILE_STOPPING_MS: Millis = 2700;

/**
 * Whether a stopping router accepts a request. Its time limit must end before the
 * stop does, or its route is usually answered in time. The latter is not
 * enough for a request that must not be repeated.
 */
export function canEndBeforeStop(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): boolean {
  return nowMs - state.stoppingSinceMs <= ACCEPT_WHILE_STOPPING_MS &&
    endsBeforeStop(state, request, nowMs);
}

/** Whether a request that is placed now can be answered before the stop ends. */
export function endsBeforeStop(
  state: DirectState,
  { deadlineAtMs, route }: ActiveRequest,
  nowMs: Millis,
): boolean {
  const stopAtMs = state.stoppingSinceMs + state.options.stopGraceMs -
    STOP_MARGIN_MS;
  return deadlineAtMs <= stopAtMs ||
    route.callKind !== "non_idempotent" &&
      nowMs + state.routeDurations.usualMaxMs(route.name) <= stopAtMs;
}

/** Stops to count as ready. Calls that wait for the start to end are refused. */
export function beginStop(state: DirectState, nowMs: Millis): DirectEffect[] {
  state.stopping = true;
  state.stoppingSinceMs = nowMs;
  return refuseDeferredCalls(state, nowMs);
}

/** Answers what has not ended before the process must. */
export function endStop(state: DirectState, nowMs: Millis): DirectEffect[] {
  return [
    ...refuseDeferredCalls(state, nowMs),
    ...[...state.requests.values()].flatMap((request) =>
      endAttemptEarly(state, request, nowMs, "stopping")
    ),
  ];
}

function refuseDeferredCalls(
  state: DirectState,
  nowMs: Millis,
): DirectEffect[] {
  const deferred = [...state.deferredCalls];
  state.deferredCalls.clear();
  return deferred.flatMap(([key, { call }]) =>
    rejectCall(state, key, call, nowMs, "stopping")
  );
}
