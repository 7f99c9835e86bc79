// Keeps each stream at the software version that began it, since the events of
// two versions do not fit together.

import type { Millis } from "../clock.js";
import { transitionRequest } from "../router/request_machine.js";
import type { DirectEndpoint } from "./direct_endpoint.js";
import type { DirectEffect, DirectEvent } from "./direct_event.js";
import { refuse } from "./direct_finish.js";
import { placeRequest } from "./direct_place.js";
import type {
  ActiveAttempt,
  ActiveRequest,
  DirectState,
} from "./direct_state.js";
import type { StreamOrigin } from "./stream_origins.js";

/** Maximum time for which a request waits for what other routers know. */
const ORIGIN_LOOKUP_MS: Millis = 400;

/** Maximum length of a call id that is remembered and sent to other routers. */
const MAX_CALL_ID_LENGTH = 128;

/**
 * Places a new request. One that continues a stream goes to the version that
 * began it, which other routers are asked for if this one does not know it.
 */
export function placeNewRequest(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  if (!continuesStream(request)) {
    return placeRequest(state, request, nowMs);
  }
  const { continuedCallId } = request.call;
  const origin = continuedCallId === undefined
    ? undefined
    : state.streamOrigins.get(continuedCallId);
  if (
    origin || continuedCallId === undefined ||
    continuedCallId.length > MAX_CALL_ID_LENGTH
  ) {
    return placeAtOrigin(state, request, origin, nowMs);
  }
  request.awaitsOrigin = true;
  return [
    { type: "find_stream_origin", key: request.key, callId: continuedCallId },
    {
      type: "set_timer",
      key: request.key,
      timer: "attempt",
      delayMs: ORIGIN_LOOKUP_MS,
    },
  ];
}

/** Places a request that waited for the origin of its stream. */
export function handleOriginAnswer(
  state: DirectState,
  request: ActiveRequest,
  origin: StreamOrigin | undefined,
  nowMs: Millis,
): DirectEffect[] {
  if (!request.awaitsOrigin) {
    return [];
  }
  request.awaitsOrigin = false;
  return [
    { type: "clear_timer", key: request.key, timer: "attempt" },
    ...placeAtOrigin(state, request, origin, nowMs),
  ];
}

/**
 * Remembers the version that begins a stream and tells other routers, since the
 * caller may take the stream up at any of them.
 */
export function recordOrigin(
  state: DirectState,
  request: ActiveRequest,
  { softwareVersion }: ActiveAttempt,
  nowMs: Millis,
): DirectEffect[] {
  const { call: { callId }, route, service } = request;
  if (
    request.origin || route.callKind !== "stream" || !route.resumable
  ) {
    return [];
  }
  const origin = { service, softwareVersion };
  request.origin = origin;
  if (callId === undefined || callId.length > MAX_CALL_ID_LENGTH) {
    return [];
  }
  state.streamOrigins.record(nowMs, callId, origin);
  return [{ type: "announce_stream_origin", callId, origin }];
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

function continuesStream({ call, route }: ActiveRequest): boolean {
  return route.callKind === "stream" && route.resumable &&
    call.lastEventId !== undefined;
}

function placeAtOrigin(
  state: DirectState,
  request: ActiveRequest,
  origin: StreamOrigin | undefined,
  nowMs: Millis,
): DirectEffect[] {
  const { route } = request;
  request.origin = origin ?? onlyOrigin(state, request.service);
  if (!request.origin) {
    request.snapshot =
      transitionRequest(request.snapshot, { type: "no_endpoint" }).snapshot;
    return refuse(state, request, nowMs, "stream_version_unknown");
  }
  const { service } = request.origin;
  if (route.targets.some((target) => target.service === service)) {
    request.service = service;
  }
  return placeRequest(state, request, nowMs);
}

/**
 * Returns the origin that any stream of a service has; undefined if endpoints of
 * several versions serve or served of late.
 */
function onlyOrigin(
  state: DirectState,
  service: string,
): StreamOrigin | undefined {
  const versions = new Set(
    state.directory.ofService(service).map(
      ({ record }: DirectEndpoint) => record.softwareVersion,
    ),
  );
  const [softwareVersion] = versions;
  const origin = { service, softwareVersion };
  return versions.size === 1 && !state.streamOrigins.hasOtherVersion(origin)
    ? origin
    : undefined;
}
