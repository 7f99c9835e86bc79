// Which endpoints of a service take a request of this router now, by evacuations
// and by what they ask for in their answers, and for how long none does.

import type { Millis } from "../clock.js";
import type { DirectEndpoint } from "./direct_endpoint.js";
import type { DirectRefusalReason } from "./direct_event.js";
import {
  type ActiveRequest,
  type DirectState,
  isEligible,
} from "./direct_state.js";
import { openEndpoints } from "./evacuated_domains.js";
import { limitRetryAfterMs, limitWaitMs } from "./endpoint_limits.js";

/** Minimum time after which a caller is told to return. */
const MIN_RETRY_AFTER_MS: Millis = 200;

/** No endpoint of a service takes a request now. */
export interface Shortage {
  readonly reason: DirectRefusalReason;
  /** Time after which the caller may send the request again. */
  readonly retryAfterMs: Millis;
}

/** Whether the endpoint takes a request of this router now. */
export function isAvailable(
  state: DirectState,
  endpoint: DirectEndpoint,
  nowMs: Millis,
): boolean {
  return endpoint.backoff.waitMs(nowMs) === 0 &&
    limitWaitMs(state, endpoint, nowMs) === 0;
}

/** Ready endpoints that may serve the request and take it now. */
export function availableEndpoints(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEndpoint[] {
  return readyEndpoints(state, request, nowMs)
    .filter((endpoint) => isAvailable(state, endpoint, nowMs));
}

/**
 * Returns why no endpoint takes the request; undefined if one does, or if what
 * endpoints ask for is not the reason.
 */
export function shortageOf(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): Shortage | undefined {
  const ready = readyEndpoints(state, request, nowMs);
  const waitsMs = ready.map(({ backoff }) => backoff.waitMs(nowMs));
  if (ready.length > 0 && waitsMs.every((waitMs) => waitMs > 0)) {
    return {
      reason: "endpoints_back_off",
      retryAfterMs: Math.max(
        MIN_RETRY_AFTER_MS,
        Math.ceil(Math.min(...waitsMs)),
      ),
    };
  }
  const untried = ready.filter(({ backoff, id }) =>
    backoff.waitMs(nowMs) === 0 && !request.triedEndpointIds.has(id)
  );
  const retryAfterMs = limitRetryAfterMs(state, request, untried, nowMs);
  return retryAfterMs === undefined
    ? undefined
    : { reason: "endpoints_limited", retryAfterMs };
}

function readyEndpoints(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEndpoint[] {
  return openEndpoints(state, request, nowMs).filter((endpoint) =>
    endpoint.isReady && isEligible(state, request, endpoint, nowMs)
  );
}
