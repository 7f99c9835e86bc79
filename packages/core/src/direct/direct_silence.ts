import type { Millis } from "../clock.js";
import { canMoveOn, failAttempt } from "./direct_attempt.js";
import type { DirectEffect, DirectEvent } from "./direct_event.js";
import {
  type ActiveAttempt,
  type ActiveRequest,
  type DirectState,
  withAttempt,
} from "./direct_state.js";

/** A busy endpoint that sends nothing for this long is avoided. */
const SILENT_ENDPOINT_MS: Millis = 700;

/** A silent attempt that cannot be left is looked at again after this time. */
const RECHECK_MS: Millis = 200;

/** More silent endpoints than this share point to this router itself. */
const OWN_FAULT_SHARE = 0.5;

/** Longest pause between events that callers of other routes accept. */
const DEFAULT_GAP_MS: Millis = 1000;

/** Part of the longest pause after which a stream is moved. */
const GAP_SHARE = 0.6;

/** The attempt has been silent for long: go on at another endpoint. */
export function losePatience(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  const { attempt, key } = request;
  if (!attempt) {
    return [];
  }
  return canMoveOn(state, request, nowMs)
    ? abandonAttempt(state, request, attempt, nowMs)
    : [{ type: "set_timer", key, timer: "attempt", delayMs: RECHECK_MS }];
}

/** Avoids endpoints that fell silent, and moves streams that may be moved. */
export function observeSilence(
  state: DirectState,
  event: Extract<DirectEvent, { type: "stalls_observed" }>,
): DirectEffect[] {
  const { attempts, busyEndpoints, endpoints, nowMs } = event;
  if (endpoints.length > busyEndpoints * OWN_FAULT_SHARE && busyEndpoints > 2) {
    // So many at once: the path from this router is what is slow.
    return [];
  }
  for (const { endpointId, idleMs: quietMs } of endpoints) {
    if (quietMs >= SILENT_ENDPOINT_MS) {
      state.directory.get(endpointId)?.suspect(nowMs);
    }
  }
  return attempts.flatMap((silence) =>
    withAttempt(state, silence, (request, attempt) => {
      const limitMs = (request.route.gapObjectiveMs ?? DEFAULT_GAP_MS) *
        GAP_SHARE;
      return silence.idleMs >= limitMs && canMoveOn(state, request, nowMs)
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
