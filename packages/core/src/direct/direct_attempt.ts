import type { Millis } from "../clock.js";
import { advanceRequest } from "../router/request_machine.js";
import type {
  AnswerHead,
  AttemptFailure,
  DirectEffect,
  DirectRefusalReason,
} from "./direct_event.js";
import { closeAttempt, finishRequest, refuse } from "./direct_finish.js";
import { placeRequest } from "./direct_place.js";
import type { RetryAllowance } from "./retry_window.js";
import { canRelayFailure, isRepeatable, judgeHead } from "./direct_rules.js";
import {
  type ActiveAttempt,
  type ActiveRequest,
  type DirectState,
  retryWindowOf,
} from "./direct_state.js";

/** Weight of the newest answer in the usual time to the first bytes. */
const FIRST_BYTE_WEIGHT = 0.1;

/** Further attempts that refusals of endpoints may cause. */
const MAX_REFUSED_ATTEMPTS = 3;

/** Decides what becomes of an attempt whose answer has begun. */
export function receiveHead(
  state: DirectState,
  request: ActiveRequest,
  attempt: ActiveAttempt,
  head: AnswerHead,
  nowMs: Millis,
): DirectEffect[] {
  const { endpoint } = attempt;
  attempt.hasHead = true;
  if (head.load) {
    endpoint.noteReport(nowMs, head.load);
  }
  const verdict = judgeHead(head, request.call.callId);
  switch (verdict) {
    case "relay":
      noteFirstByte(state, request, nowMs - attempt.startedMs);
      endpoint.noteSuccess(nowMs);
      return relay(request, attempt, head.status, nowMs);
    case "not_run":
      if (head.misdirected) {
        endpoint.suspect(nowMs);
      }
      return retryAfterRefusal(state, request, attempt, head, nowMs);
    case "failure":
      return receiveFailureAnswer(state, request, attempt, head, nowMs);
    case "invalid":
      return failAttempt(
        state,
        request,
        attempt,
        {
          kind: "foreign",
          sent: true,
          detail: `status ${head.status}`,
        },
        nowMs,
        request.answering,
      );
  }
}

/** Handles an attempt that ended without a whole answer. */
export function failAttempt(
  state: DirectState,
  request: ActiveRequest,
  attempt: ActiveAttempt,
  failure: AttemptFailure,
  nowMs: Millis,
  canResume: boolean,
): DirectEffect[] {
  const { endpoint } = attempt;
  endpoint.failures.note(nowMs, true);
  if (failure.kind === "connect") {
    endpoint.suspect(nowMs);
  }
  closeAttempt(request);
  if (failure.sent) {
    request.possibleRuns++;
  }
  const effects: DirectEffect[] = [
    {
      type: "discard_attempt",
      key: request.key,
      attempt: attempt.number,
      closeConnection: true,
    },
    ...noteFailure(request, attempt, nowMs, failure),
  ];
  const reason = failure.sent ? "endpoint_failed" : "endpoints_unreachable";
  return [
    ...effects,
    ...continueElsewhere(state, request, nowMs, reason, canResume),
  ];
}

function noteFirstByte(
  state: DirectState,
  { route }: ActiveRequest,
  tookMs: Millis,
): void {
  const usualMs = state.firstByteMs.get(route.name) ?? tookMs;
  state.firstByteMs.set(
    route.name,
    usualMs + (tookMs - usualMs) * FIRST_BYTE_WEIGHT,
  );
}

function relay(
  request: ActiveRequest,
  attempt: ActiveAttempt,
  status: number,
  nowMs: Millis,
): DirectEffect[] {
  request.snapshot =
    advanceRequest(request.snapshot, { type: "accepted" }).snapshot;
  request.answering = true;
  // A stream that goes on elsewhere keeps the status of its first head.
  request.answerStatus ??= status;
  const effects: DirectEffect[] = [
    {
      type: "relay",
      key: request.key,
      attempt: attempt.number,
      endpointId: attempt.endpoint.id,
    },
    {
      type: "measure",
      measurement: {
        metric: "direct_first_byte_ms",
        value: nowMs - request.receivedMs,
        labels: { kind: request.route.callKind },
      },
    },
  ];
  if (request.route.callKind !== "stream") {
    effects.push({ type: "clear_timer", key: request.key, timer: "attempt" });
  }
  return effects;
}

/** The endpoint promised not to run the request: another one may. */
function retryAfterRefusal(
  state: DirectState,
  request: ActiveRequest,
  attempt: ActiveAttempt,
  head: AnswerHead,
  nowMs: Millis,
): DirectEffect[] {
  closeAttempt(request);
  return [
    {
      type: "discard_attempt",
      key: request.key,
      attempt: attempt.number,
      closeConnection: false,
    },
    ...noteFailure(request, attempt, nowMs, {
      kind: "refused",
      sent: true,
      detail: `status ${head.status}, not run`,
    }),
    ...continueElsewhere(
      state,
      request,
      nowMs,
      "endpoints_refused",
      request.answering,
    ),
  ];
}

/** The request ran and failed: repeat it if it may run again. */
function receiveFailureAnswer(
  state: DirectState,
  request: ActiveRequest,
  attempt: ActiveAttempt,
  head: AnswerHead,
  nowMs: Millis,
): DirectEffect[] {
  attempt.endpoint.failures.note(nowMs, true);
  request.possibleRuns++;
  if (!request.answering && !canRepeat(state, request, nowMs)) {
    return canRelayFailure(head)
      ? relay(request, attempt, head.status, nowMs)
      : [
        ...closeFailed(request, attempt),
        ...refuse(state, request, nowMs, "endpoint_failed"),
      ];
  }
  const effects: DirectEffect[] = [
    ...closeFailed(request, attempt),
    ...noteFailure(request, attempt, nowMs, {
      kind: "error",
      sent: true,
      detail: `status ${head.status}`,
    }),
  ];
  return [
    ...effects,
    ...continueElsewhere(state, request, nowMs, "endpoint_failed", true),
  ];
}

function closeFailed(
  request: ActiveRequest,
  attempt: ActiveAttempt,
): DirectEffect[] {
  closeAttempt(request);
  return [{
    type: "discard_attempt",
    key: request.key,
    attempt: attempt.number,
    closeConnection: false,
  }];
}

/** Whether rules and deadline, not yet the budget, allow another run. */
function canRepeat(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): boolean {
  const { route } = request;
  return isRepeatable(route) && request.possibleRuns < route.maxAttempts &&
    nowMs < request.deadlineAtMs &&
    state.directory.ofService(request.service).length > 1;
}

/**
 * Places the request again if nothing can have run, or if it may run again;
 * else gives it up.
 */
function continueElsewhere(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
  reason: DirectRefusalReason,
  canResume: boolean,
): DirectEffect[] {
  request.lastRefusal = reason;
  const mayHaveRun = request.possibleRuns > 0;
  const allowed = mayHaveRun
    ? canRepeat(state, request, nowMs) && (!request.answering || canResume)
    : request.attemptCount <= MAX_REFUSED_ATTEMPTS;
  const retry = allowed && takeRetry(state, request, nowMs);
  const event = mayHaveRun
    ? { type: "failed_unknown", mayRepeat: retry } as const
    : { type: "refused_not_run", mayTryNext: retry } as const;
  request.snapshot = advanceRequest(request.snapshot, event).snapshot;
  if (retry) {
    return placeRequest(state, request, nowMs);
  }
  if (request.answering) {
    return finishRequest(state, request, nowMs, "broken_off", reason);
  }
  return refuse(
    state,
    request,
    nowMs,
    allowed ? "retry_budget_spent" : reason,
  );
}

/**
 * Whether an attempt that is silent may be left for another endpoint. Silence
 * alone is no reason to end an answer, so all must be there that it takes to
 * go on elsewhere.
 */
export function canMoveOn(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): boolean {
  const { possibleRuns, route, service, tried } = request;
  return isRepeatable(route) && possibleRuns + 1 < route.maxAttempts &&
    state.directory.ofService(service).some(({ id, record }) =>
      record.state === "ready" && !tried.has(id)
    ) &&
    retryWindowOf(state, service).hasRetry(nowMs, allowanceOf(state));
}

function takeRetry(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): boolean {
  return retryWindowOf(state, request.service)
    .tryRetry(nowMs, allowanceOf(state));
}

/** This router's share of what all routers may repeat. */
function allowanceOf({ options, routerCount }: DirectState): RetryAllowance {
  return {
    ratio: options.retryRatio,
    extra: options.retryExtra / routerCount,
  };
}

interface NotedFailure {
  readonly kind: AttemptFailure["kind"] | "refused" | "error";
  readonly sent: boolean;
  readonly detail?: string;
}

function noteFailure(
  request: ActiveRequest,
  attempt: ActiveAttempt,
  nowMs: Millis,
  { detail, kind, sent }: NotedFailure,
): DirectEffect[] {
  return [
    {
      type: "log",
      event: "direct_attempt_failed",
      fields: {
        request_id: request.call.callId,
        endpoint: attempt.endpoint.id,
        attempt: attempt.number,
        failure: kind,
        sent,
        detail,
        after_ms: Math.round(nowMs - attempt.startedMs),
      },
    },
    {
      type: "measure",
      measurement: {
        metric: "direct_attempt_failures_total",
        value: 1,
        labels: { cause: kind },
      },
    },
  ];
}
