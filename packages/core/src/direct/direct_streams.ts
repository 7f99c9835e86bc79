// Notes which software version began each stream, since the events of two
// versions do not fit together.

import type { Millis } from "../clock.js";
import { type DirectEndpoint, ENTRY_DELAY_MS } from "./direct_endpoint.js";
import type { DirectEffect, DirectEvent } from "./direct_event.js";
import {
  type ActiveAttempt,
  type ActiveRequest,
  type DirectState,
  hasUncertainVersion,
} from "./direct_state.js";
import type { EndpointTransition } from "./endpoint_directory.js";
import { logUncertainOrigin } from "./origin_log.js";
import type { StreamOrigin, StreamRecord } from "./stream_origins.js";

/** Maximum length of a call id that is remembered and sent to other routers. */
const MAX_CALL_ID_LENGTH = 128;

/**
 * Notes the versions that serve. When a service gets a second one, the streams
 * that have begun are stored, since the directory alone no longer tells theirs.
 */
export function updateVersions(
  state: DirectState,
  nowMs: Millis,
): DirectEffect[] {
  const { directory, versionHistory } = state;
  if (directory.size > 0) {
    state.endpointsKnownSinceMs ??= nowMs;
  }
  const before = mixedServices(state, nowMs);
  versionHistory.update(
    nowMs,
    [...directory.all()].map(({ record }) => record),
  );
  const newlyMixed = new Set(
    mixedServices(state, nowMs).filter((service) => !before.includes(service)),
  );
  return storeBegunStreams(state, newlyMixed, nowMs);
}

/** Stores again what a restore of the directory may have undone. */
export function storeStreamsAgain(
  state: DirectState,
  nowMs: Millis,
): DirectEffect[] {
  return storeBegunStreams(
    state,
    new Set(mixedServices(state, nowMs)),
    nowMs,
  );
}

/** Services whose streams may be of different versions. */
function mixedServices(
  { versionHistory }: DirectState,
  nowMs: Millis,
): string[] {
  return versionHistory.all(nowMs).map(({ service }) => service)
    .filter((service) => versionHistory.hasSeveral(service, nowMs));
}

/** Stores the streams that are open or may have broken off just now. */
function storeBegunStreams(
  state: DirectState,
  services: ReadonlySet<string>,
  nowMs: Millis,
): DirectEffect[] {
  if (services.size === 0) {
    return [];
  }
  const records = new Map(
    state.recentStreams.of(nowMs, services).map((record) =>
      [record.callId, record] as const
    ),
  );
  for (const request of state.requests.values()) {
    const { answerStarted, origin } = request;
    const callId = firstCallIdOf(request);
    if (
      answerStarted && origin && services.has(origin.service) &&
      callId !== undefined
    ) {
      records.set(callId, { callId, origin });
    }
  }
  return records.size === 0
    ? []
    : [{ type: "store_stream_records", records: [...records.values()] }];
}

/**
 * Remembers the version that begins a stream and tells other routers, since the
 * caller may take the stream up at any of them.
 */
export function recordOrigin(
  state: DirectState,
  request: ActiveRequest,
  { endpoint, softwareVersion }: ActiveAttempt,
  nowMs: Millis,
): DirectEffect[] {
  const { call, route, service } = request;
  if (
    request.origin || route.callKind !== "stream" || !route.resumable
  ) {
    return [];
  }
  const origin: StreamOrigin = {
    service,
    softwareVersion,
    ...(hasUncertainVersion(state, endpoint, nowMs)
      ? { isUncertain: true }
      : {}),
  };
  request.origin = origin;
  const callId = keptCallId(call.callId);
  if (callId === undefined) {
    return [];
  }
  const record = { callId, origin };
  state.streamOrigins.record(nowMs, callId, origin);
  state.recentStreams.add(nowMs, record, endpoint);
  return [
    { type: "announce_stream_origin", callId, origin },
    ...origin.isUncertain ? [logBegin(state, record, endpoint, nowMs)] : [],
    ...storeIfMixed(state, [record], nowMs),
  ];
}

/** Logs why the origin of a stream that begins is uncertain. */
function logBegin(
  state: DirectState,
  record: StreamRecord,
  endpoint: DirectEndpoint,
  nowMs: Millis,
): DirectEffect {
  const cause = endpoint.isReplaced(state.directoryConfirmedMs ?? 0)
    ? "port_closed"
    : "connections_closed";
  return logUncertainOrigin(state, record, endpoint, cause, nowMs);
}

/** Stores the records of those services whose streams may be of several versions. */
function storeIfMixed(
  { versionHistory }: DirectState,
  all: readonly StreamRecord[],
  nowMs: Millis,
): DirectEffect[] {
  const records = all.filter(({ origin }) =>
    versionHistory.hasSeveral(origin.service, nowMs)
  );
  return records.length === 0
    ? []
    : [{ type: "store_stream_records", records }];
}

/**
 * Makes the origins of streams uncertain that may have begun at the process which
 * the directory names only now: it began to serve before its entry was known.
 */
export function doubtStreams(
  state: DirectState,
  transitions: readonly EndpointTransition[],
  nowMs: Millis,
): DirectEffect[] {
  const sinceMs = (state.directoryConfirmedMs ?? nowMs) - ENTRY_DELAY_MS;
  const doubted = transitions.filter(({ change }) => change === "restarted")
    .flatMap(({ endpointId }) => {
      const endpoint = state.directory.get(endpointId)!;
      return state.recentStreams.doubt(endpointId, sinceMs, endpoint.record)
        .map((stream) => ({ ...stream, endpoint }));
    });
  const originsByPrevious = new Map(
    doubted.map(({ previousOrigin, record }) =>
      [previousOrigin, record.origin] as const
    ),
  );
  for (const request of state.requests.values()) {
    request.origin = request.origin &&
      (originsByPrevious.get(request.origin) ?? request.origin);
  }
  const records = doubted.map(({ record }) => record);
  const announcements = records.map(({ callId, origin }): DirectEffect => {
    state.streamOrigins.record(nowMs, callId, origin);
    return { type: "announce_stream_origin", callId, origin };
  });
  const logged = doubted.map(({ endpoint, record }) =>
    logUncertainOrigin(state, record, endpoint, "process_changed", nowMs)
  );
  return [...announcements, ...logged, ...storeIfMixed(state, records, nowMs)];
}

/** Records origins that other routers announced. */
export function applyStreamOrigins(
  state: DirectState,
  event: Extract<DirectEvent, { type: "stream_origins_received" }>,
): void {
  for (const { callId, origin } of event.origins) {
    state.streamOrigins.record(event.nowMs, callId, origin);
  }
}

/** Id of the call that brought the first event of the request's stream. */
function firstCallIdOf(request: ActiveRequest): string | undefined {
  const { callId, lastEventId } = request.call;
  return lastEventId === undefined
    ? keptCallId(callId)
    : continuedCallIdOf(request);
}

/** Origin of the stream that the request continues, as far as this router knows. */
export function knownOriginOf(
  state: DirectState,
  request: ActiveRequest,
): StreamOrigin | undefined {
  const callId = continuedCallIdOf(request);
  return callId === undefined ? undefined : state.streamOrigins.get(callId);
}

/** Id of the call that began the stream which the request continues. */
export function continuedCallIdOf({ call }: ActiveRequest): string | undefined {
  return keptCallId(call.continuedCallId);
}

/** Ids that are too long are neither remembered nor sent. */
function keptCallId(callId: string | undefined): string | undefined {
  return callId !== undefined && callId.length <= MAX_CALL_ID_LENGTH
    ? callId
    : undefined;
}
