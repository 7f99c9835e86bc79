import type { Millis } from "../clock.js";
import { canRetryElsewhere, failAttempt } from "./direct_attempt.js";
import type { DirectEffect, DirectEvent } from "./direct_event.js";
import {
  type ActiveAttempt,
  type ActiveRequest,
  type DirectState,
  withAttempt,
} from "./direct_state.js";

/** A busy endpoint that sends no byte for this long is avoided for a time. */
const ENDPOINT_STALL_MS: Millis = 700;

/** Interval at which a stalled attempt that cannot be retried is rechecked. */
const RETRY_CHECK_MS: Millis = 200;

/**
 * If more than this fraction of the busy endpoints stall, the path from this
 * router is the likely cause.
 */
const MAX_STALLED_FRACTION = 0.5;

/** Longest allowed time between two events on routes that do not set one. */
const DEFAULT_GAP_OBJECTIVE_MS: Millis = 1000;

/**
 * A stream is continued at another endpoint after this fraction of the longest
 * allowed time between two events.
 */
const GAP_FRACTION = 0.6;

/** Retries an attempt without an answer elsewhere, or checks again later. */
export function handleAttemptTimeout(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  const { attempt, key } = request;
  if (!attempt) {
    return [];
  }
  return canRetryElsewhere(state, request, nowMs)
    ? abandonAttempt(state, request, attempt, nowMs)
    : [{ type: "set_timer", key, timer: "attempt", delayMs: RETRY_CHECK_MS }];
}

/**
 * Marks stalled endpoints as suspected, and continues stalled streams at other
 * endpoints where route and retry budget allow it.
 */
export function handleStalls(
  state: DirectState,
  event: Extract<DirectEvent, { type: "stalls_observed" }>,
): DirectEffect[] {
  const { attempts, busyEndpoints, endpoints, nowMs } = event;
  if (
    endpoints.length > busyEndpoints * MAX_STALLED_FRACTION && busyEndpoints > 2
  ) {
    // A retry would not help: other endpoints are reached over the same path.
    return [];
  }
  for (const { endpointId, idleMs } of endpoints) {
    if (idleMs >= ENDPOINT_STALL_MS) {
      state.directory.get(endpointId)?.markSuspected(nowMs);
    }
  }
  return attempts.flatMap((stall) =>
    withAttempt(state, stall, (request, attempt) => {
      const limitMs =
        (request.route.gapObjectiveMs ?? DEFAULT_GAP_OBJECTIVE_MS) *
        GAP_FRACTION;
      return stall.idleMs >= limitMs && canRetryElsewhere(state, request, nowMs)
        ? abandonAttempt(state, request, attempt, nowMs)
        : [];
    })
  );
}

function abandonAttempt(
  state: DirectState,
  request: ActiveRequest,
  attempt: ActiveAttempt,
  nowMs: Millis,
): DirectEffect[] {
  return failAttempt(
    state,
    request,
    attempt,
    { kind: "silent", sent: true },
    nowMs,
    true,
  );
}
