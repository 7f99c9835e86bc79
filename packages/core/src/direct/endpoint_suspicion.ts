import type { Millis } from "../clock.js";
import type { DirectEffect } from "./direct_event.js";
import type { DirectEndpoint } from "./direct_endpoint.js";

/** What made a router suspect an endpoint; written to the log. */
export type SuspicionCause = "connect" | "misdirected" | "stalled";

/** Marks an endpoint as suspected and logs it, unless it already is. */
export function suspectEndpoint(
  endpoint: DirectEndpoint,
  cause: SuspicionCause,
  nowMs: Millis,
  silentMs?: Millis,
): DirectEffect[] {
  const periodMs = endpoint.markSuspected(nowMs);
  return periodMs === undefined ? [] : [{
    type: "log",
    event: "endpoint_suspected",
    fields: {
      endpoint: endpoint.id,
      service: endpoint.record.service,
      cause,
      silent_ms: silentMs === undefined ? undefined : Math.round(silentMs),
      local_in_flight: endpoint.localInFlight,
      period_ms: periodMs,
    },
  }];
}
