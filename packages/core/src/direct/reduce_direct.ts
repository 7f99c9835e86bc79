import type { Millis } from "../clock.js";
import { advanceRequest } from "../router/request_machine.js";
import { admitCall, releaseCall, releaseCalls } from "./direct_admission.js";
import { failAttempt, receiveHead } from "./direct_attempt.js";
import type { DirectEffect, DirectEvent } from "./direct_event.js";
import { finishRequest, refuse } from "./direct_finish.js";
import {
  changeEndpoints,
  changeStoreState,
  expireEndpoints,
  receiveConfig,
  takeWarmth,
} from "./direct_knowledge.js";
import { losePatience, observeSilence } from "./direct_silence.js";
import {
  type ActiveRequest,
  type DirectState,
  withAttempt,
  withRequest,
} from "./direct_state.js";

/** Applies one event to the state of a router without sidecars. */
export function reduceDirect(
  state: DirectState,
  event: DirectEvent,
): DirectEffect[] {
  switch (event.type) {
    case "call_received":
      return admitCall(state, event.key, event.call, event.nowMs);
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
    case "peer_loads_received":
      for (const view of state.directory.all()) {
        const requests = event.inFlight[view.id] ?? 0;
        view.notePeerLoad(event.nowMs, event.peerId, requests);
      }
      return [];
    case "prompt_cache_entries_received":
      takeWarmth(state, event.entries);
      return [];
    case "stalls_observed":
      return observeSilence(state, event);
    case "peers_changed":
      state.routerCount = Math.max(1, event.routerCount);
      return [];
    case "tick":
      return expireEndpoints(state, event.nowMs);
    case "stopping":
      state.stopping = true;
      state.stoppingSinceMs = event.nowMs;
      return [];
  }
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
