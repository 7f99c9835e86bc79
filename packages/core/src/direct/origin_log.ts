// Log events that tell why the software version of a stream is not known.

import type { Millis } from "../clock.js";
import type { DirectEndpoint } from "./direct_endpoint.js";
import type { DirectEffect } from "./direct_event.js";
import {
  type ActiveRequest,
  directoryAgeMs,
  type DirectState,
  type OriginLookup,
} from "./direct_state.js";
import type { StreamOrigin, StreamRecord } from "./stream_origins.js";

/** Logs that a stream is refused because nobody knows which version began it. */
export function logUnknownOrigin(
  { versionHistory }: DirectState,
  { call, receivedMs, service }: ActiveRequest,
  lookup: OriginLookup | undefined,
  origin: StreamOrigin | undefined,
  nowMs: Millis,
): DirectEffect {
  return {
    type: "log",
    event: "stream_origin_unknown",
    fields: {
      request_id: call.callId,
      continues: call.continuedCallId,
      service,
      cause: causeOf(lookup, origin),
      records: lookup?.records,
      versions: lookup?.versions,
      fleet_connected: lookup?.isFleetConnected,
      served_versions: versionHistory.servedOfLate(service, nowMs).length,
      waited_ms: Math.round(nowMs - receivedMs),
    },
  };
}

/** Logs that no version is known to fit a stream that begins or has begun. */
export function logUncertainOrigin(
  state: DirectState,
  { callId, origin }: StreamRecord,
  endpoint: DirectEndpoint,
  cause: "port_closed" | "connections_closed" | "process_changed",
  nowMs: Millis,
): DirectEffect {
  return {
    type: "log",
    event: "stream_origin_uncertain",
    fields: {
      request_id: callId,
      service: origin.service,
      software_version: origin.softwareVersion,
      endpoint: endpoint.id,
      cause,
      directory_age_ms: directoryAgeMs(state, nowMs),
    },
  };
}

function causeOf(
  lookup: OriginLookup | undefined,
  origin: StreamOrigin | undefined,
): string {
  if (origin) {
    return "uncertain";
  }
  switch (lookup?.records) {
    case "awaited":
      return "records_awaited";
    case "failed":
      return "records_failed";
    case "answered":
      return "no_record";
    default:
      return "records_not_read";
  }
}
