import type { Millis } from "../clock.js";
import type { DirectEffect } from "./direct_event.js";
import type { DirectEndpoint } from "./direct_endpoint.js";

/** What made a router suspect an endpoint; written to the log. */
export type SuspicionCause =
  | "connect"
  | "misdirected"
  | "port_closed"
  | "stalled";

/** Marks an endpoint as suspected and logs it, unless it already is. */
export function suspectEndpoint(
  endpoint: DirectEndpoint,
  cause: SuspicionCause,
  nowMs: Millis,
  silentMs?: Millis,
): DirectEffect[] {
  const periodMs = endpoint.markSuspected(nowMs);
  return periodMs === undefined
    ? []
    : [logSuspicion(endpoint, cause, periodMs, silentMs)];
}

/**
 * Avoids an endpoint at whose address nothing listens until the directory no
 * longer lists it. Each further attempt would fail and use up a retry.
 */
export function avoidGoneEndpoint(
  endpoint: DirectEndpoint,
  nowMs: Millis,
): DirectEffect[] {
  endpoint.recordPortClosed(nowMs);
  const periodMs = endpoint.markCrashed(nowMs);
  return periodMs === undefined
    ? []
    : [logSuspicion(endpoint, "port_closed", periodMs)];
}

function logSuspicion(
  { id, localInFlight, record }: DirectEndpoint,
  cause: SuspicionCause,
  periodMs: Millis,
  silentMs?: Millis,
): DirectEffect {
  return {
    type: "log",
    event: "endpoint_suspected",
    fields: {
      endpoint: id,
      service: record.service,
      cause,
      silent_ms: silentMs === undefined ? undefined : Math.round(silentMs),
      local_in_flight: localInFlight,
      period_ms: periodMs,
    },
  };
}
