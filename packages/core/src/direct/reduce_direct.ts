import type { Millis } from "../clock.js";
import { endColdPeriods, isSlowedByCold } from "../cold/index.js";
import {
  endWaitForEnd,
  handleEndCheck,
  resumeReplacedRuns,
} from "../copies/index.js";
import { transitionRequest } from "../router/request_machine.js";
import {
  admitCall,
  admitDeferredCalls,
  endDeferral,
} from "./direct_admission.js";
import {
  failAttempt,
  handleAnswerHead,
  handleFirstBodyBytes,
} from "./direct_attempt.js";
import {
  applySuspectReports,
  recordSoundTraits,
  reviewSuspects,
} from "./blocked_requests.js";
import type { DirectEffect, DirectEvent } from "./direct_event.js";
import { observeDiscardedHead } from "./endpoint_answer.js";
import { applyLimitReports } from "./endpoint_limits.js";
import { endAttemptEarly, finishRequest, rejectCall } from "./direct_finish.js";
import {
  avoidCrashedEndpoints,
  handleEndpointCheck,
} from "./endpoint_crash.js";
import { recordStreamCost } from "./request_cost.js";
import {
  applyConfig,
  applyDirectoryRestore,
  applyDirectoryState,
  applyEndpointChange,
  applyPromptCacheEntries,
  removeLapsedEndpoints,
} from "./direct_updates.js";
import { applyStreamOrigins, updateVersions } from "./direct_streams.js";
import {
  applyStreamRecords,
  applyVersionCheck,
  handleLookupTimeout,
  handleOriginAnswer,
} from "./origin_lookup.js";
import {
  applyEvacuations,
  reportCompleteEvacuations,
} from "./evacuated_domains.js";
import { beginStop, endStop } from "./planned_stop.js";
import { handleAttemptTimeout, handleStalls } from "./direct_stalls.js";
import {
  type ActiveRequest,
  type DirectState,
  hasDirectory,
  ifActiveRequest,
  ifCurrentAttempt,
} from "./direct_state.js";
import {
  applyObjectives,
  placeWaiting,
  reviewOverload,
} from "./waiting_requests.js";

/** Applies one event to the state of a router without sidecars. */
export function reduceDirect(
  state: DirectState,
  event: DirectEvent,
): DirectEffect[] {
  switch (event.type) {
    case "call_received":
      return admitCall(
        state,
        event.key,
        {
          call: event.call,
          receivedMs: event.readMs ?? event.nowMs,
          lagMs: event.lagMs,
        },
        event.nowMs,
      );
    case "placement_due":
      return placeWaiting(state, event.nowMs, event.lagMs);
    case "call_refused":
      return rejectCall(
        state,
        event.key,
        event.call,
        event.nowMs,
        event.reason,
      );
    case "directory_confirmed":
      state.directoryConfirmedMs = event.confirmedMs;
      return admitDeferredCalls(state, event.nowMs);
    case "caller_gone":
      state.deferredCalls.delete(event.key);
      return ifActiveRequest(
        state,
        event.key,
        (request) => handleCallerDisconnected(state, request, event.nowMs),
      );
    case "attempt_head":
      return ifCurrentAttempt(
        state,
        event,
        (request, attempt) =>
          handleAnswerHead(state, request, attempt, event.head, event.nowMs),
      );
    case "discarded_head":
      return observeDiscardedHead(state, event);
    case "attempt_progress":
      return ifCurrentAttempt(
        state,
        event,
        (request, attempt) =>
          handleFirstBodyBytes(state, request, attempt, event.nowMs),
      );
    case "attempt_ended":
      return ifCurrentAttempt(
        state,
        event,
        (request) => handleAnswerEnd(state, request, event.events, event.nowMs),
      );
    case "attempt_failed":
      return ifCurrentAttempt(state, event, (request, attempt) =>
        failAttempt(
          state,
          request,
          attempt,
          event.failure,
          event.nowMs,
          event.canResume,
        ));
    case "timer_fired":
      if (state.deferredCalls.has(event.key)) {
        return endDeferral(state, event.key, event.nowMs);
      }
      return ifActiveRequest(
        state,
        event.key,
        (request) => {
          if (event.timer === "deadline") {
            return handleDeadline(state, request, event.nowMs);
          }
          if (request.copy?.interruption) {
            return endWaitForEnd(state, request, event.nowMs);
          }
          return request.originLookup
            ? handleLookupTimeout(state, request, event.nowMs)
            : handleAttemptTimeout(state, request, event.nowMs);
        },
      );
    case "config_received":
      return [
        ...applyConfig(state, event),
        ...applyObjectives(state),
        ...admitDeferredCalls(state, event.nowMs),
      ];
    case "config_announced":
      state.announcedConfigVersion = Math.max(
        state.announcedConfigVersion,
        event.version,
      );
      return [];
    case "endpoints_changed":
      return [
        ...applyEndpointChange(state, event),
        ...updateVersions(state, event.nowMs),
        ...resumeReplacedRuns(state, event.nowMs),
        ...admitDeferredCalls(state, event.nowMs),
      ];
    case "directory_state_changed":
      return applyDirectoryState(state, event);
    case "directory_restored":
      return applyDirectoryRestore(state, event);
    case "peer_loads_received":
      for (const endpoint of state.directory.all()) {
        const requests = event.inFlight[endpoint.id] ?? 0;
        endpoint.recordPeerLoad(event.nowMs, event.peerId, requests);
      }
      return [];
    case "stream_origins_received":
      applyStreamOrigins(state, event);
      return [];
    case "stream_records_read":
      return applyStreamRecords(state, event);
    case "stream_origin_answered":
      return ifActiveRequest(
        state,
        event.key,
        (request) => handleOriginAnswer(state, request, event),
      );
    case "endpoint_disconnected":
      recordDisconnection(state, event);
      return [];
    case "versions_checked":
      return ifActiveRequest(
        state,
        event.key,
        (request) => applyVersionCheck(state, request, event),
      );
    case "prompt_cache_entries_received":
      applyPromptCacheEntries(state, event);
      return [];
    case "stalls_observed":
      return handleStalls(state, event);
    case "endpoint_checked":
      return handleEndpointCheck(state, event);
    case "end_checked":
      return handleEndCheck(state, event);
    case "limits_received":
      return applyLimitReports(state, event);
    case "suspects_review_due":
      return reviewSuspects(state, event.nowMs);
    case "suspects_received":
      avoidCrashedEndpoints(state, event.reports, event.nowMs);
      return [
        ...applySuspectReports(state, event),
        ...admitDeferredCalls(state, event.nowMs),
      ];
    case "router_count_observed":
      state.fleetSize.observe(
        event.nowMs,
        event.routerCount,
        event.routerIds,
      );
      state.isFirstRouter = event.isFirst ?? false;
      state.routersObservedSinceMs ??= event.nowMs;
      state.routersObservedMs = event.nowMs;
      return [];
    case "evacuations_changed":
      return [
        ...applyEvacuations(state, event),
        ...admitDeferredCalls(state, event.nowMs),
      ];
    case "tick":
      return [
        ...reportCompleteEvacuations(state, event.nowMs),
        ...removeLapsedEndpoints(state, event.nowMs),
        ...endColdPeriods(state, event.nowMs),
        ...updateVersions(state, event.nowMs),
        ...endWaitForSuspects(state, event.nowMs),
        ...reviewOverload(state, event.nowMs),
      ];
    case "stopping":
      return beginStop(state, event.nowMs);
    case "stop_time_over":
      return endStop(state, event.nowMs);
  }
}

/**
 * Time for which a router that could serve waits to learn the suspects and the
 * evacuations.
 */
const MAX_SUSPECTS_WAIT_MS: Millis = 1000;

/** Serves without the suspects or evacuations if nobody tells them in time. */
function endWaitForSuspects(
  state: DirectState,
  nowMs: Millis,
): DirectEffect[] {
  const { evacuationsKnown, suspectsKnown } = state;
  if (suspectsKnown && evacuationsKnown || !hasDirectory(state)) {
    return [];
  }
  state.suspectsAwaitedSinceMs ??= nowMs;
  if (nowMs - state.suspectsAwaitedSinceMs < MAX_SUSPECTS_WAIT_MS) {
    return [];
  }
  state.suspectsKnown = true;
  state.evacuationsKnown = true;
  return [
    ...suspectsKnown ? [] : [
      { type: "log", event: "prompt_suspects_unknown", fields: {} } as const,
    ],
    ...evacuationsKnown
      ? []
      : [{ type: "log", event: "evacuations_unknown", fields: {} } as const],
    ...admitDeferredCalls(state, nowMs),
  ];
}

function recordDisconnection(
  { directory }: DirectState,
  { endpointId, incarnation, isClosedByEndpoint, nowMs }: Extract<
    DirectEvent,
    { type: "endpoint_disconnected" }
  >,
): void {
  const endpoint = directory.get(endpointId);
  if (endpoint?.record.incarnation === incarnation) {
    endpoint.recordDisconnected(nowMs, isClosedByEndpoint);
  }
}

function handleCallerDisconnected(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  const { attempt, key, route } = request;
  request.snapshot =
    transitionRequest(request.snapshot, { type: "caller_gone" }).snapshot;
  const effects: DirectEffect[] = attempt
    ? [{
      type: "discard_attempt",
      key,
      attemptNumber: attempt.number,
      // A non-idempotent request is left to run; its connection is reused
      // later.
      closeConnection: route.callKind !== "non_idempotent",
    }]
    : [];
  return [
    ...effects,
    ...finishRequest(state, request, nowMs, "caller_gone"),
  ];
}

function handleAnswerEnd(
  state: DirectState,
  request: ActiveRequest,
  events: number | undefined,
  nowMs: Millis,
): DirectEffect[] {
  request.snapshot =
    transitionRequest(request.snapshot, { type: "ended" }).snapshot;
  const measures = events === undefined
    ? []
    : recordStreamCost(state, request, events, nowMs);
  return [
    ...measures,
    ...recordSoundTraits(state, request, nowMs),
    ...finishRequest(state, request, nowMs, "answered"),
  ];
}

function handleDeadline(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  const { attempt } = request;
  if (attempt && !isSlowedByCold(attempt)) {
    attempt.endpoint.failureRate.record(nowMs, !attempt.hasHead);
  }
  return endAttemptEarly(state, request, nowMs, "deadline_passed");
}
