import type { Millis } from "../clock.js";
import { canRetryElsewhere, failAttempt } from "./direct_attempt.js";
import type {
  DirectEffect,
  DirectEvent,
  EndpointStall,
} from "./direct_event.js";
import { suspectEndpoint } from "./endpoint_suspicion.js";
import {
  type ActiveAttempt,
  type ActiveRequest,
  type DirectState,
  ifCurrentAttempt,
} from "./direct_state.js";

/**
 * An endpoint with requests in flight is suspected if it has sent nothing for
 * this long.
 */
const ENDPOINT_STALL_MS: Millis = 700;

/**
 * After this time, a stalled attempt that could not be retried is checked
 * again.
 */
const RETRY_CHECK_INTERVAL_MS: Millis = 200;

/**
 * If a larger fraction of the busy endpoints has stalled, the likely cause is
 * the network connection of this router.
 */
const MAX_STALLED_FRACTION = 0.5;

/**
 * Gap objective of routes that set none: maximum time between two stream
 * events.
 */
const DEFAULT_GAP_OBJECTIVE_MS: Millis = 1000;

/**
 * A stream is continued at another endpoint when its endpoint has sent nothing
 * for this fraction of the route's gap objective.
 */
const GAP_OBJECTIVE_FRACTION = 0.6;

/**
 * Handles the time-out of an attempt: no answer arrived or, on streams, no body
 * bytes. Retries the request at another endpoint, or checks later whether it
 * can be retried.
 */
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
    : [{
      type: "set_timer",
      key,
      timer: "attempt",
      delayMs: RETRY_CHECK_INTERVAL_MS,
    }];
}

/**
 * Marks stalled endpoints as suspected, closes idle connections that may be
 * silent, and continues stalled streams at other endpoints if the route and the
 * retry budget allow it.
 */
export function handleStalls(
  state: DirectState,
  event: Extract<DirectEvent, { type: "stalls_observed" }>,
): DirectEffect[] {
  const { attempts, busyEndpoints, nowMs } = event;
  const endpoints = event.endpoints.filter((stall) =>
    !isColdStall(state, stall, nowMs)
  );
  const closed = closeSilentConnections(endpoints);
  if (
    endpoints.length > busyEndpoints * MAX_STALLED_FRACTION && busyEndpoints > 2
  ) {
    // So many endpoints have stalled that the network connection of this router
    // is the likely cause. A retry would use the same connection.
    return closed;
  }
  const suspicions = endpoints.flatMap(({ endpointId, silentMs }) => {
    const endpoint = state.directory.get(endpointId);
    return endpoint && silentMs >= ENDPOINT_STALL_MS
      ? suspectEndpoint(endpoint, "stalled", nowMs, silentMs)
      : [];
  });
  const continued = attempts.flatMap((stall) =>
    ifCurrentAttempt(state, stall, (request, attempt) => {
      const maxSilentMs =
        (request.route.gapObjectiveMs ?? DEFAULT_GAP_OBJECTIVE_MS) *
        GAP_OBJECTIVE_FRACTION;
      return stall.canResume && stall.silentMs >= maxSilentMs &&
          canRetryElsewhere(state, request, nowMs)
        ? abandonAttempt(state, request, attempt, nowMs)
        : [];
    })
  );
  return [...closed, ...suspicions, ...continued];
}

/** Whether the endpoint is silent because it is cold. */
function isColdStall(
  { directory }: DirectState,
  { endpointId, silentMs }: EndpointStall,
  nowMs: Millis,
): boolean {
  const endpoint = directory.get(endpointId);
  return endpoint?.cold.wasColdSince(nowMs - silentMs) ?? false;
}

/**
 * Connections can fall silent without a reset while new ones work. If requests
 * on reused connections get no byte, the idle ones beside them may be silent
 * too, and each would cost a request.
 */
function closeSilentConnections(
  endpoints: readonly EndpointStall[],
): DirectEffect[] {
  return endpoints
    .filter(({ onReusedConnections, silentMs }) =>
      onReusedConnections && silentMs >= ENDPOINT_STALL_MS
    )
    .map(({ endpointId, silentMs }) => ({
      type: "close_idle_connections",
      endpointId,
      unusedMs: silentMs,
    }));
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
