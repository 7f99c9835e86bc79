import type { Millis } from "../clock.js";
import { endCopy } from "../copies/run_copy.js";
import { transitionRequest } from "../router/request_machine.js";
import type { LogFields } from "../log_events.js";
import { answerFields } from "./answer_report.js";
import type {
  DirectCall,
  DirectEffect,
  DirectRefusalReason,
  Refusal,
} from "./direct_event.js";
import {
  type ActiveRequest,
  directoryAgeMs,
  type DirectState,
} from "./direct_state.js";

/**
 * Time after which the caller of a refused request may send the request again.
 */
const RETRY_AFTER_MS: Millis = 300;

/**
 * HTTP status for a request that did not run, by reason; 503 for all others.
 */
const STATUS_BY_REASON: Partial<Record<DirectRefusalReason, number>> = {
  no_route: 404,
  unknown_key: 401,
  body_too_large: 413,
  header_too_large: 431,
};

/**
 * Ends the current attempt of a request, which then no longer counts as in
 * flight at its endpoint. Returns the number of the attempt, or undefined if
 * there is none.
 */
export function closeAttempt(request: ActiveRequest): number | undefined {
  const { attempt } = request;
  if (!attempt) {
    return undefined;
  }
  attempt.endpoint.localInFlight--;
  attempt.endpoint.work.end(attempt.work);
  request.attempt = undefined;
  return attempt.number;
}

/** Creates the error answer to a request that was not served. */
export function refusalOf(
  reason: DirectRefusalReason,
  mayHaveRun: boolean,
  retryAfterMs: Millis = RETRY_AFTER_MS,
): Refusal {
  if (mayHaveRun) {
    const status = reason === "deadline_passed" ? 504 : 502;
    return { status, reason, outcome: "unknown" };
  }
  const status = STATUS_BY_REASON[reason];
  return status === undefined
    ? {
      status: 503,
      reason,
      outcome: "not-run",
      retryAfterMs,
    }
    : { status, reason, outcome: "not-run" };
}

/**
 * Sends the caller an error answer and removes the request.
 *
 * @param retryAfterMs Time after which the caller may send the request again.
 */
export function refuse(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
  reason: DirectRefusalReason,
  retryAfterMs?: Millis,
): DirectEffect[] {
  const mayHaveRun = request.possibleExecutions > 0;
  const refusal = refusalOf(reason, mayHaveRun, retryAfterMs);
  request.answerStatus = refusal.status;
  return [
    { type: "refuse", key: request.key, refusal },
    ...finishRequest(state, request, nowMs, refusal.outcome, reason),
  ];
}

/** Refuses a call for which no request was created. */
export function rejectCall(
  state: DirectState,
  key: number,
  call: DirectCall,
  nowMs: Millis,
  reason: DirectRefusalReason,
): DirectEffect[] {
  const refusal = refusalOf(reason, false);
  return [
    { type: "refuse", key, refusal },
    { type: "remove_request", key },
    {
      type: "log",
      event: "direct_call_rejected",
      fields: {
        request_id: call.callId,
        host: call.host,
        reason,
        status: refusal.status,
        config_version: state.configIndex?.version,
        directory_age_ms: directoryAgeMs(state, nowMs),
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

/**
 * Ends a request that has run out of time: its attempt is given up, and its caller
 * is told whether it may have run.
 */
export function endAttemptEarly(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
  reason: DirectRefusalReason,
): DirectEffect[] {
  const { attempt, key, route } = request;
  request.snapshot =
    transitionRequest(request.snapshot, { type: "deadline_passed" }).snapshot;
  const effects: DirectEffect[] = [];
  if (attempt) {
    request.possibleExecutions++;
    effects.push({
      type: "discard_attempt",
      key,
      attemptNumber: attempt.number,
      // A non-idempotent request is left to run; its connection is reused
      // later.
      closeConnection: route.callKind !== "non_idempotent",
    });
  }
  return [
    ...effects,
    ...request.answerStarted
      ? finishRequest(state, request, nowMs, "broken_off", reason)
      : refuse(state, request, nowMs, reason),
  ];
}

/**
 * How a request ended. `not-run` and `unknown` are error answers of the router;
 * `broken_off` is an answer that was aborted after it had begun.
 */
export type RequestOutcome =
  | "answered"
  | "not-run"
  | "unknown"
  | "broken_off"
  | "caller_gone";

/**
 * Removes a request from the state and returns the effects that release its
 * resources and report its outcome.
 */
export function finishRequest(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
  outcome: RequestOutcome,
  reason?: string,
): DirectEffect[] {
  const { call, key, route } = request;
  const endpointId = request.attempt?.endpoint.id;
  if (outcome === "answered") {
    state.routeDurations.record(route.name, nowMs - request.receivedMs);
  }
  closeAttempt(request);
  endCopy(
    state,
    request,
    nowMs,
    outcome === "answered" || outcome === "not-run",
  );
  state.requests.delete(key);
  const effects = request.isWaiting
    ? endWait(state, request, outcome, reason)
    : [];
  if (outcome === "broken_off") {
    effects.push({ type: "abort_answer", key });
  }
  effects.push(
    { type: "remove_request", key },
    {
      type: "log",
      event: "direct_request_finished",
      fields: {
        request_id: call.callId,
        continues: call.continuedCallId,
        route: route.name,
        outcome,
        reason,
        status: request.answerStatus,
        endpoint: endpointId,
        attempts: request.attemptCount,
        possible_runs: request.possibleExecutions,
        ...answerFields(request),
        ...blockedTraitFields(request),
        took_ms: Math.round(nowMs - request.receivedMs),
        deadline_ms: Math.round(request.deadlineAtMs - request.receivedMs),
        config_version: state.configIndex?.version,
      },
    },
    {
      type: "measure",
      measurement: {
        metric: "direct_requests_total",
        value: 1,
        labels: { kind: route.callKind, result: outcome },
      },
    },
    {
      type: "measure",
      measurement: {
        metric: "direct_request_ms",
        value: nowMs - request.receivedMs,
        labels: { kind: route.callKind },
      },
    },
  );
  return effects;
}

/** Removes a request that ends before it was placed. */
function endWait(
  state: DirectState,
  request: ActiveRequest,
  outcome: RequestOutcome,
  reason: string | undefined,
): DirectEffect[] {
  request.isWaiting = false;
  state.placementScheduler?.remove(request.key);
  return [{
    type: "measure",
    measurement: {
      metric: "unplaced_requests_total",
      value: 1,
      labels: { reason: reason ?? outcome },
    },
  }];
}

/** Names the trait because of which a request was refused. */
function blockedTraitFields({ blockedTrait }: ActiveRequest): LogFields {
  if (!blockedTrait) {
    return {};
  }
  return blockedTrait.kind === "prompt_part"
    ? { prompt_part: blockedTrait.partId }
    : { request_digest: blockedTrait.digest };
}
