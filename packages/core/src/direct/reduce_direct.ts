import type { Millis } from "../clock.js";
import {
  advanceRequest,
  initialRequestSnapshot,
} from "../router/request_machine.js";
import { failAttempt, receiveHead } from "./direct_attempt.js";
import { isRepeatable } from "./direct_rules.js";
import type {
  DirectCall,
  DirectEffect,
  DirectEvent,
  DirectRefusalReason,
} from "./direct_event.js";
import { finishRequest, refusalOf, refuse } from "./direct_finish.js";
import { placeRequest, sharedPartOf } from "./direct_place.js";
import {
  type ActiveAttempt,
  type ActiveRequest,
  canServe,
  type DirectState,
  isDisturbed,
  retryWindowOf,
} from "./direct_state.js";
import type { DirectoryNote } from "./endpoint_directory.js";
import { pickTarget, RouteTable } from "./route_table.js";
import type { DirectAccount, DirectRoute } from "./routing_config.js";
import type { WarmEntry } from "./warmth_index.js";

/** Deadline of requests whose caller and route name none. */
const DEFAULT_DEADLINE_MS: Millis = 60_000;

/** A caller is answered this long before it stops to wait. */
const ANSWER_MARGIN_MS: Millis = 20;

/** A call that arrives during the start waits this long at the most. */
const START_WAIT_MS: Millis = 800;

/** Part of a call's deadline that it may wait during the start. */
const START_WAIT_SHARE = 0.4;

/** A busy endpoint that sends nothing for this long is avoided. */
const SILENT_ENDPOINT_MS: Millis = 700;

/** More silent endpoints than this share point to this router itself. */
const OWN_FAULT_SHARE = 0.5;

/** Longest pause between events that callers of other routes accept. */
const DEFAULT_GAP_MS: Millis = 1000;

/** Part of the longest pause after which a stream is moved. */
const GAP_SHARE = 0.6;

/** How long after an outage a removed entry may still come back. */
const LAPSE_MS: Millis = 1800;

/** How long after an outage removals are taken for its trace. */
const DISTURBED_MS: Millis = 2500;

/** Applies one event to the state of a router without sidecars. */
export function reduceDirect(
  state: DirectState,
  event: DirectEvent,
): DirectEffect[] {
  switch (event.type) {
    case "call_received":
      return canServe(state) || state.stopping
        ? receiveCall(state, event.key, event.call, event.nowMs, event.nowMs)
        : holdCall(state, event.key, event.call, event.nowMs);
    case "caller_gone":
      state.waiting.delete(event.key);
      return withRequest(
        state,
        event.key,
        (request) => loseCaller(state, request, event.nowMs),
      );
    case "attempt_head":
      return withAttempt(
        state,
        event,
        (request, attempt) =>
          receiveHead(state, request, attempt, event.head, event.nowMs),
      );
    case "attempt_progress":
      return withAttempt(state, event, ({ key }) => [
        { type: "clear_timer", key, timer: "attempt" },
      ]);
    case "attempt_ended":
      return withAttempt(
        state,
        event,
        (request) => endAttempt(state, request, event.nowMs),
      );
    case "attempt_failed":
      return withAttempt(state, event, (request, attempt) =>
        failAttempt(
          state,
          request,
          attempt,
          event.failure,
          event.nowMs,
          event.canResume,
        ));
    case "timer_fired":
      if (state.waiting.has(event.key)) {
        return releaseCall(state, event.key, event.nowMs);
      }
      return withRequest(
        state,
        event.key,
        (request) =>
          event.timer === "deadline"
            ? passDeadline(state, request, event.nowMs)
            : losePatience(state, request, event.nowMs),
      );
    case "config_received":
      return [
        ...receiveConfig(state, event),
        ...releaseCalls(state, event.nowMs),
      ];
    case "endpoints_changed":
      return [
        ...changeEndpoints(state, event),
        ...releaseCalls(state, event.nowMs),
      ];
    case "store_state_changed":
      return changeStoreState(state, event);
    case "peer_loads":
      for (const view of state.directory.all()) {
        const requests = event.inFlight[view.id] ?? 0;
        view.notePeerLoad(event.nowMs, event.peerId, requests);
      }
      return [];
    case "warmth_told":
      return takeWarmth(state, event.entries);
    case "silence_observed":
      return observeSilence(state, event);
    case "peers_changed":
      state.routerCount = Math.max(1, event.routerCount);
      state.passesNewsOn = event.routerCount - 1 > event.connectedCount;
      return [];
    case "tick":
      return expireEndpoints(state, event.nowMs);
    case "stopping":
      state.stopping = true;
      return [];
  }
}

function withRequest(
  state: DirectState,
  key: number,
  handle: (request: ActiveRequest) => DirectEffect[],
): DirectEffect[] {
  const request = state.requests.get(key);
  return request ? handle(request) : [];
}

/** Events of attempts that were replaced or given up change nothing. */
function withAttempt(
  state: DirectState,
  { key, attempt }: { readonly key: number; readonly attempt: number },
  handle: (request: ActiveRequest, attempt: ActiveAttempt) => DirectEffect[],
): DirectEffect[] {
  return withRequest(
    state,
    key,
    (request) =>
      request.attempt?.number === attempt
        ? handle(request, request.attempt)
        : [],
  );
}

/**
 * Lets a call wait for the first configuration, which arrives a moment after
 * the process starts. A refusal would use up the caller's few retries.
 */
function holdCall(
  state: DirectState,
  key: number,
  call: DirectCall,
  nowMs: Millis,
): DirectEffect[] {
  state.waiting.set(key, { call, receivedMs: nowMs });
  const delayMs = Math.min(
    START_WAIT_MS,
    (call.deadlineMs ?? DEFAULT_DEADLINE_MS) * START_WAIT_SHARE,
  );
  return [{ type: "set_timer", key, timer: "deadline", delayMs }];
}

function releaseCall(
  state: DirectState,
  key: number,
  nowMs: Millis,
): DirectEffect[] {
  const held = state.waiting.get(key);
  if (!held) {
    return [];
  }
  state.waiting.delete(key);
  return receiveCall(state, key, held.call, held.receivedMs, nowMs);
}

function releaseCalls(state: DirectState, nowMs: Millis): DirectEffect[] {
  if (!canServe(state)) {
    return [];
  }
  return [...state.waiting.keys()].flatMap((key) =>
    releaseCall(state, key, nowMs)
  );
}

function receiveCall(
  state: DirectState,
  key: number,
  call: DirectCall,
  receivedMs: Millis,
  nowMs: Millis,
): DirectEffect[] {
  const { routes } = state;
  if (!routes) {
    return rejectCall(key, call, "no_config", undefined);
  }
  const { limits } = routes.config;
  if (call.headerBytes > limits.maxHeaderBytes) {
    return rejectCall(key, call, "header_too_large", routes.version);
  }
  if (call.bodyBytes > limits.maxBodyBytes) {
    return rejectCall(key, call, "body_too_large", routes.version);
  }
  const route = routes.match(call.host, call.path);
  if (!route) {
    return rejectCall(key, call, "no_route", routes.version);
  }
  const account = accountOf(routes, route, call);
  if (account === "unknown") {
    return rejectCall(key, call, "unknown_key", routes.version);
  }
  const request = createRequest(key, call, route, account, receivedMs);
  state.requests.set(key, request);
  retryWindowOf(state, request.service).noteRequest(nowMs);
  return [
    {
      type: "set_timer",
      key,
      timer: "deadline",
      delayMs: request.deadlineAtMs - nowMs,
    },
    ...placeRequest(state, request, nowMs),
  ];
}

function createRequest(
  key: number,
  call: DirectCall,
  route: DirectRoute,
  account: DirectAccount | undefined,
  nowMs: Millis,
): ActiveRequest {
  const callerMs = call.deadlineMs === undefined
    ? DEFAULT_DEADLINE_MS
    : call.deadlineMs - ANSWER_MARGIN_MS;
  const limitMs = Math.min(callerMs, route.timeoutMs ?? callerMs);
  return {
    key,
    call,
    receivedMs: nowMs,
    route,
    account,
    service: pickTarget(route, sharedPartOf(call) ?? call.callId ?? ""),
    deadlineAtMs: nowMs + Math.max(1, limitMs),
    tried: new Set(),
    snapshot: initialRequestSnapshot,
    attempt: undefined,
    attemptCount: 0,
    possibleRuns: 0,
    answering: false,
    lastRefusal: undefined,
  };
}

function accountOf(
  routes: RouteTable,
  route: DirectRoute,
  call: DirectCall,
): DirectAccount | undefined | "unknown" {
  if (!routes.needsKeys) {
    return undefined;
  }
  const account = call.apiKey === undefined
    ? undefined
    : routes.accountOf(call.apiKey);
  return account ?? (route.open ? undefined : "unknown");
}

/** Refuses a call before it becomes a request. */
function rejectCall(
  key: number,
  call: DirectCall,
  reason: DirectRefusalReason,
  configVersion: number | undefined,
): DirectEffect[] {
  const refusal = refusalOf(reason, false);
  return [
    { type: "refuse", key, refusal },
    { type: "forget", key },
    {
      type: "log",
      event: "direct_call_rejected",
      fields: {
        request_id: call.callId,
        host: call.host,
        reason,
        status: refusal.status,
        config_version: configVersion,
      },
    },
    {
      type: "measure",
      measurement: {
        metric: "direct_rejections_total",
        value: 1,
        labels: { reason },
      },
    },
  ];
}

function loseCaller(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  const { attempt, key, route } = request;
  request.snapshot =
    advanceRequest(request.snapshot, { type: "caller_gone" }).snapshot;
  const effects: DirectEffect[] = attempt
    ? [{
      type: "discard_attempt",
      key,
      attempt: attempt.number,
      // A write that runs is left to end; its connection stays usable.
      closeConnection: route.callKind !== "non_idempotent",
    }]
    : [];
  return [
    ...effects,
    ...finishRequest(state, request, nowMs, "caller_gone"),
  ];
}

function endAttempt(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  request.snapshot =
    advanceRequest(request.snapshot, { type: "ended" }).snapshot;
  return finishRequest(state, request, nowMs, "answered");
}

function passDeadline(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  const { attempt, key, route } = request;
  request.snapshot =
    advanceRequest(request.snapshot, { type: "deadline_passed" }).snapshot;
  const effects: DirectEffect[] = [];
  if (attempt) {
    request.possibleRuns++;
    attempt.endpoint.failures.note(nowMs, !attempt.hasHead);
    effects.push({
      type: "discard_attempt",
      key,
      attempt: attempt.number,
      closeConnection: route.callKind !== "non_idempotent",
    });
  }
  return [
    ...effects,
    ...request.answering
      ? finishRequest(state, request, nowMs, "broken_off", "deadline_passed")
      : refuse(state, request, nowMs, "deadline_passed"),
  ];
}

/** The attempt has been silent for long: go on at another endpoint. */
function losePatience(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  const { attempt } = request;
  if (!attempt) {
    return [];
  }
  return failAttempt(
    state,
    request,
    attempt,
    { kind: "silent", sent: true },
    nowMs,
    true,
  );
}

/** Avoids endpoints that fell silent, and moves streams that may be moved. */
function observeSilence(
  state: DirectState,
  event: Extract<DirectEvent, { type: "silence_observed" }>,
): DirectEffect[] {
  const { attempts, busyEndpoints, endpoints, nowMs } = event;
  if (endpoints.length > busyEndpoints * OWN_FAULT_SHARE && busyEndpoints > 2) {
    // So many at once: the path from this router is what is slow.
    return [];
  }
  for (const { endpointId, quietMs } of endpoints) {
    if (quietMs >= SILENT_ENDPOINT_MS) {
      state.directory.get(endpointId)?.suspect(nowMs);
    }
  }
  return attempts.flatMap((silence) =>
    withAttempt(state, silence, (request, attempt) => {
      const limitMs = (request.route.gapObjectiveMs ?? DEFAULT_GAP_MS) *
        GAP_SHARE;
      return isRepeatable(request.route) && silence.quietMs >= limitMs
        ? failAttempt(
          state,
          request,
          attempt,
          { kind: "silent", sent: true },
          nowMs,
          true,
        )
        : [];
    })
  );
}

function receiveConfig(
  state: DirectState,
  event: Extract<DirectEvent, { type: "config_received" }>,
): DirectEffect[] {
  const current = state.routes?.version;
  if (current !== undefined && event.config.version <= current) {
    return [];
  }
  state.routes = new RouteTable(event.config);
  return [
    { type: "limits_changed" },
    {
      type: "log",
      event: "routing_config_applied",
      fields: {
        config_version: event.config.version,
        previous_version: current,
        source: event.source,
        routes: event.config.routes.length,
        accounts: event.config.accounts?.length,
      },
    },
  ];
}

function changeEndpoints(
  state: DirectState,
  event: Extract<DirectEvent, { type: "endpoints_changed" }>,
): DirectEffect[] {
  const disturbed = event.settled !== true && isDisturbed(state, event.nowMs);
  const notes = state.directory.apply(
    event.change,
    event.nowMs,
    disturbed ? LAPSE_MS : 0,
  );
  forgetWarmth(state, notes);
  return logNotes(notes, event.source);
}

function expireEndpoints(state: DirectState, nowMs: Millis): DirectEffect[] {
  const notes = state.directory.expire(nowMs);
  forgetWarmth(state, notes);
  return logNotes(notes, "lapse");
}

function changeStoreState(
  state: DirectState,
  event: Extract<DirectEvent, { type: "store_state_changed" }>,
): DirectEffect[] {
  if (event.available === state.storeAvailable) {
    return [];
  }
  state.storeAvailable = event.available;
  if (event.available) {
    state.disturbedUntilMs = event.nowMs + DISTURBED_MS;
  }
  return [{
    type: "log",
    event: event.available ? "store_regained" : "store_lost",
    fields: { config_version: state.routes?.version },
  }];
}

function takeWarmth(
  state: DirectState,
  entries: readonly WarmEntry[],
): DirectEffect[] {
  const news: DirectEffect[] = [];
  for (const { endpointId, incarnation, parts } of entries) {
    const service = state.directory.get(endpointId)?.record.service;
    const engine = service && state.routes?.service(service)?.engine;
    const added = state.warmth.note(
      endpointId,
      incarnation,
      parts,
      engine ? engine.cacheTokens : undefined,
    );
    if (state.passesNewsOn && added.length > 0) {
      const entry = { endpointId, incarnation, parts: added };
      news.push({ type: "tell_warmth", entry });
    }
  }
  return news;
}

/** Follows the directory: what is gone or began anew holds nothing. */
function forgetWarmth(
  state: DirectState,
  notes: readonly DirectoryNote[],
): void {
  for (const { change, endpointId } of notes) {
    if (change === "removed" || change === "restarted") {
      state.warmth.forget(endpointId);
    }
  }
}

function logNotes(
  notes: readonly DirectoryNote[],
  source: string,
): DirectEffect[] {
  return notes.map(({ endpointId, service, change }) => ({
    type: "log",
    event: "endpoint_view_changed",
    fields: { endpoint: endpointId, service, change, source },
  }));
}
