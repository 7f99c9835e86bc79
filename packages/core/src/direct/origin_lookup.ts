// Finds out which software version began a stream that a caller takes up. The
// stream goes on at that version only.

import type { Millis } from "../clock.js";
import { transitionRequest } from "../router/request_machine.js";
import type { DirectEffect, DirectEvent } from "./direct_event.js";
import { refuse } from "./direct_finish.js";
import { placeRequest } from "./direct_place.js";
import type {
  ActiveRequest,
  DirectState,
  OriginLookup,
} from "./direct_state.js";
import { continuedCallIdOf, knownOriginOf } from "./direct_streams.js";
import { logUnknownOrigin } from "./origin_log.js";
import { ORIGIN_RETENTION_MS, type StreamOrigin } from "./stream_origins.js";

/**
 * Maximum time for which a request waits for what other routers and the directory
 * know, and again for the directory if it is asked only because they are silent.
 */
const ORIGIN_LOOKUP_MS: Millis = 400;

/**
 * Maximum further time for which it waits for a read of the stored records that
 * is in progress. A process that has just started reads slowly, and a caller that
 * is refused may not come back. The calls of a read end within 1.5 s.
 */
const RECORDS_READ_MS: Millis = 1100;

/**
 * Places a new request. One that continues a stream goes to the version that
 * began it. If this router does not know it, other routers are asked, and the
 * records in the store are read if this router may lack knowledge that was lost
 * with its predecessors.
 */
export function placeNewRequest(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  if (!continuesStream(request)) {
    return placeRequest(state, request, nowMs);
  }
  const origin = knownOriginOf(state, request);
  if (origin) {
    return placeAtOrigin(state, request, origin, nowMs);
  }
  const { key } = request;
  const callId = continuedCallIdOf(request);
  const lookup: OriginLookup = {
    awaitsPeers: callId !== undefined,
    records: "not_asked",
    versions: "not_asked",
    isFleetConnected: false,
    awaitsReadOnly: false,
  };
  request.originLookup = lookup;
  const asked = knowsPast(state, nowMs)
    ? []
    : [...readRecords(lookup), ...checkVersions(request, lookup)];
  return [
    setTimer(request),
    ...callId === undefined
      ? []
      : [{ type: "find_stream_origin" as const, key, callId }],
    ...asked,
    ...advance(state, request, nowMs),
  ];
}

/** Handles the answer of the other routers. */
export function handleOriginAnswer(
  state: DirectState,
  request: ActiveRequest,
  { isFleetConnected, nowMs, origin }: Extract<
    DirectEvent,
    { type: "stream_origin_answered" }
  >,
): DirectEffect[] {
  const { originLookup: lookup } = request;
  if (!lookup) {
    return [];
  }
  lookup.awaitsPeers = false;
  lookup.isFleetConnected = isFleetConnected;
  return origin
    ? endLookup(state, request, origin, nowMs)
    : advance(state, request, nowMs);
}

/** Goes on without the answers that have not come in time. */
export function handleLookupTimeout(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  const { originLookup: lookup } = request;
  if (!lookup) {
    return [];
  }
  lookup.awaitsPeers = false;
  if (lookup.records === "not_asked" && lookup.versions === "not_asked") {
    return [setTimer(request), ...advance(state, request, nowMs)];
  }
  if (lookup.records === "awaited" && !lookup.awaitsReadOnly) {
    lookup.awaitsReadOnly = true;
    return [
      setTimer(request, RECORDS_READ_MS),
      ...advance(state, request, nowMs),
    ];
  }
  return endLookup(state, request, undefined, nowMs);
}

/** Takes over what was stored, and places the requests that waited for it. */
export function applyStreamRecords(
  state: DirectState,
  { nowMs, records }: Extract<DirectEvent, { type: "stream_records_read" }>,
): DirectEffect[] {
  if (records) {
    state.versionHistory.recordServed(nowMs, records.versions);
    for (const { callId, origin } of records.streams) {
      state.streamOrigins.record(nowMs, callId, origin);
    }
    state.hasReadStreamRecords = true;
  }
  return [...state.requests.values()].flatMap((request) => {
    const { originLookup: lookup } = request;
    if (lookup?.records !== "awaited") {
      return [];
    }
    lookup.records = records ? "answered" : "failed";
    return advance(state, request, nowMs);
  });
}

/** Notes which versions the directory lists, and places a request with that. */
export function applyVersionCheck(
  state: DirectState,
  request: ActiveRequest,
  { nowMs, services }: Extract<DirectEvent, { type: "versions_checked" }>,
): DirectEffect[] {
  if (services) {
    state.versionHistory.recordServed(nowMs, services);
  }
  const { originLookup: lookup } = request;
  if (lookup?.versions !== "awaited") {
    return [];
  }
  lookup.versions = services ? "answered" : "failed";
  return advance(state, request, nowMs);
}

/** Asks who has not been asked, or ends the lookup if nobody is left. */
function advance(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  const lookup = request.originLookup!;
  const origin = knownOriginOf(state, request);
  if (origin) {
    return endLookup(state, request, origin, nowMs);
  }
  if (lookup.awaitsPeers) {
    return [];
  }
  const asked = askDirectory(state, request, lookup, nowMs);
  return asked.length > 0 || awaitsDirectory(state, request, lookup, nowMs)
    ? asked
    : endLookup(state, request, undefined, nowMs);
}

/**
 * Reads the records if versions must be told apart. Otherwise asks which versions
 * serve, unless all routers have just said that they do not know the stream: what
 * this router knows of the directory may be older than the stream.
 */
function askDirectory(
  state: DirectState,
  request: ActiveRequest,
  lookup: OriginLookup,
  nowMs: Millis,
): DirectEffect[] {
  if (servedOfLate(state, request, nowMs).length > 1) {
    return lookup.records === "not_asked" ? readRecords(lookup) : [];
  }
  return lookup.isFleetConnected || lookup.versions !== "not_asked"
    ? []
    : checkVersions(request, lookup);
}

/** Whether an answer that may still come can tell the origin. */
function awaitsDirectory(
  state: DirectState,
  request: ActiveRequest,
  lookup: OriginLookup,
  nowMs: Millis,
): boolean {
  return lookup.records === "awaited" ||
    lookup.versions === "awaited" && !lookup.isFleetConnected &&
      knowsPast(state, nowMs) &&
      servedOfLate(state, request, nowMs).length === 1;
}

function readRecords(lookup: OriginLookup): DirectEffect[] {
  lookup.records = "awaited";
  return [{ type: "read_stream_records" }];
}

function checkVersions(
  { key }: ActiveRequest,
  lookup: OriginLookup,
): DirectEffect[] {
  lookup.versions = "awaited";
  return [{ type: "check_versions", key }];
}

function setTimer(
  { key }: ActiveRequest,
  delayMs: Millis = ORIGIN_LOOKUP_MS,
): DirectEffect {
  return { type: "set_timer", key, timer: "attempt", delayMs };
}

function endLookup(
  state: DirectState,
  request: ActiveRequest,
  knownOrigin: StreamOrigin | undefined,
  nowMs: Millis,
): DirectEffect[] {
  const origin = knownOrigin ?? onlyOrigin(state, request, nowMs);
  const { originLookup: lookup } = request;
  request.originLookup = undefined;
  return [
    { type: "clear_timer", key: request.key, timer: "attempt" },
    ...placeAtOrigin(state, request, origin, nowMs, lookup),
  ];
}

function placeAtOrigin(
  state: DirectState,
  request: ActiveRequest,
  origin: StreamOrigin | undefined,
  nowMs: Millis,
  lookup?: OriginLookup,
): DirectEffect[] {
  const { route } = request;
  request.origin = origin;
  if (!origin || origin.isUncertain) {
    request.snapshot =
      transitionRequest(request.snapshot, { type: "no_endpoint" }).snapshot;
    return [
      logUnknownOrigin(state, request, lookup, origin, nowMs),
      ...refuse(state, request, nowMs, "stream_version_unknown"),
    ];
  }
  if (route.targets.some((target) => target.service === origin.service)) {
    request.service = origin.service;
  }
  return placeRequest(state, request, nowMs);
}

/**
 * Returns the origin that any stream of the request's service has; undefined if
 * endpoints of several versions serve or served of late, or if that is not known.
 */
function onlyOrigin(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): StreamOrigin | undefined {
  const { originLookup: lookup, service } = request;
  const [version, ...others] = servedOfLate(state, request, nowMs);
  const isViewCurrent = lookup?.isFleetConnected ||
    lookup?.versions === "answered";
  const origin = { service, softwareVersion: version || undefined };
  return isViewCurrent && version !== undefined && others.length === 0 &&
      knowsPast(state, nowMs) &&
      !state.streamOrigins.hasOtherVersion(origin)
    ? origin
    : undefined;
}

function servedOfLate(
  { versionHistory }: DirectState,
  { service }: ActiveRequest,
  nowMs: Millis,
): readonly string[] {
  return versionHistory.servedOfLate(service, nowMs);
}

/** Whether the router knows the versions that served before it started. */
function knowsPast(
  { endpointsKnownSinceMs, hasReadStreamRecords }: DirectState,
  nowMs: Millis,
): boolean {
  return hasReadStreamRecords ||
    endpointsKnownSinceMs !== undefined &&
      nowMs - endpointsKnownSinceMs >= ORIGIN_RETENTION_MS;
}

function continuesStream({ call, route }: ActiveRequest): boolean {
  return route.callKind === "stream" && route.resumable &&
    call.lastEventId !== undefined;
}
