import type { Millis } from "../clock.js";
import { isSlowedByCold } from "../cold/index.js";
import {
  awaitEndOfRun,
  mayResumeFromCopy,
  measureResumption,
} from "../copies/index.js";
import { transitionRequest } from "../router/request_machine.js";
import { canBeContinued, continuesStream } from "../stream_continuation.js";
import type {
  AnswerHead,
  AttemptFailure,
  DirectEffect,
  DirectRefusalReason,
} from "./direct_event.js";
import type { DirectEndpoint } from "./direct_endpoint.js";
import { answerFields } from "./answer_report.js";
import { closeAttempt, finishRequest, refuse } from "./direct_finish.js";
import { asksForBackoff, observeEndpoint } from "./endpoint_answer.js";
import { availableEndpoints, shortageOf } from "./endpoint_availability.js";
import { checkForCrash } from "./endpoint_crash.js";
import { avoidGoneEndpoint, suspectEndpoint } from "./endpoint_suspicion.js";
import { recordPrefill } from "./request_cost.js";
import { placeRequest } from "./direct_place.js";
import { recordOrigin } from "./direct_streams.js";
import { sharedPromptParts } from "./prompt_parts.js";
import {
  canRelayErrorAnswer,
  classifyHead,
  type HeadClass,
  isRetryable,
} from "./direct_rules.js";
import {
  type ActiveAttempt,
  type ActiveRequest,
  type DirectState,
  retryBalanceOf,
  retryLimitsOf,
} from "./direct_state.js";

/**
 * Weight of the newest answer in the moving average of the time to the head of
 * an answer.
 */
const TIME_TO_HEAD_WEIGHT = 0.1;

/**
 * Maximum number of retries of a request that no endpoint can have executed.
 */
const MAX_NOT_RUN_RETRIES = 3;

/**
 * Handles status and headers of an answer: relays the answer, retries the
 * request, or ends the request with an error.
 */
export function handleAnswerHead(
  state: DirectState,
  request: ActiveRequest,
  attempt: ActiveAttempt,
  head: AnswerHead,
  nowMs: Millis,
): DirectEffect[] {
  attempt.hasHead = true;
  attempt.endpoint.recordConnected(nowMs);
  const headClass = classifyHead(head, request.call.callId);
  return [
    ...observeEndpoint(attempt.endpoint, head, headClass, nowMs),
    ...handleClassifiedHead(state, request, attempt, head, headClass, nowMs),
  ];
}

function handleClassifiedHead(
  state: DirectState,
  request: ActiveRequest,
  attempt: ActiveAttempt,
  head: AnswerHead,
  headClass: HeadClass,
  nowMs: Millis,
): DirectEffect[] {
  const { endpoint } = attempt;
  switch (headClass) {
    case "relay":
      if (!mayRelay(request, head)) {
        return [
          ...measureResumption(request, attempt, "failed"),
          ...handleErrorAnswer(state, request, attempt, head, nowMs),
        ];
      }
      if (!isSlowedByCold(attempt)) {
        updateTypicalTimeToHead(state, request, nowMs - attempt.startedMs);
      }
      endpoint.recordSuccess(nowMs);
      endpoint.backoff.recordSuccess(attempt.startedMs);
      return [
        ...measureResumption(request, attempt, "continued"),
        ...relayAnswer(request, attempt, head, nowMs),
      ];
    case "not_run":
      if (!head.misdirected && !asksForBackoff(head)) {
        endpoint.failureRate.record(nowMs, true);
      }
      return [
        ...(head.misdirected
          ? suspectEndpoint(endpoint, "misdirected", nowMs)
          : []),
        ...measureResumption(request, attempt, "refused"),
        ...retryAfterNotRun(state, request, attempt, head, nowMs),
      ];
    case "error_answer":
      return [
        ...measureResumption(request, attempt, "failed"),
        ...handleErrorAnswer(state, request, attempt, head, nowMs),
      ];
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
        request.answerStarted,
      );
  }
}

/**
 * Handles the first body bytes of a relayed answer. On streams they follow the
 * prefill of the prompt, so they show how fast the engine is.
 */
export function handleFirstBodyBytes(
  state: DirectState,
  request: ActiveRequest,
  attempt: ActiveAttempt,
  nowMs: Millis,
): DirectEffect[] {
  const { key, route } = request;
  const measures = route.callKind === "stream" && !isSlowedByCold(attempt)
    ? recordPrefill(state, request, attempt, nowMs)
    : [];
  attempt.endpoint.work.recordFirstEvent(nowMs, attempt.work);
  return [
    { type: "clear_timer", key, timer: "attempt" },
    ...measures,
    ...recordOrigin(state, request, attempt, nowMs),
  ];
}

/**
 * Handles an attempt that ended without a complete answer: retries the request
 * or ends it with an error.
 *
 * @param canResume Whether another endpoint can continue a partly relayed
 *   answer.
 */
export function failAttempt(
  state: DirectState,
  request: ActiveRequest,
  attempt: ActiveAttempt,
  failure: AttemptFailure,
  nowMs: Millis,
  canResume: boolean,
): DirectEffect[] {
  const { endpoint } = attempt;
  if (failure.kind !== "silent" || !isSlowedByCold(attempt)) {
    endpoint.failureRate.record(nowMs, true);
  }
  const suspicion = suspicionOf(endpoint, failure, nowMs);
  const check = failure.sent && failure.kind === "reset"
    ? checkForCrash(state, request, attempt, nowMs)
    : [];
  closeAttempt(request);
  if (failure.sent) {
    request.possibleExecutions++;
  }
  const effects: DirectEffect[] = [
    ...suspicion,
    ...check,
    {
      type: "discard_attempt",
      key: request.key,
      attemptNumber: attempt.number,
      closeConnection: true,
    },
    ...reportFailure(state, request, attempt, nowMs, failure),
    ...attempt.hasHead ? [] : measureResumption(request, attempt, "failed"),
  ];
  if (mayResumeFromCopy(state, request, attempt, failure, canResume, nowMs)) {
    return [...effects, ...awaitEndOfRun(state, request, nowMs)];
  }
  const reason = failure.sent ? "endpoint_failed" : "endpoints_unreachable";
  return [
    ...effects,
    ...retryOrFail(state, request, nowMs, reason, canResume),
  ];
}

function suspicionOf(
  endpoint: DirectEndpoint,
  { kind, portClosed }: AttemptFailure,
  nowMs: Millis,
): DirectEffect[] {
  if (portClosed) {
    return avoidGoneEndpoint(endpoint, nowMs);
  }
  return kind === "connect" ? suspectEndpoint(endpoint, "connect", nowMs) : [];
}

function updateTypicalTimeToHead(
  state: DirectState,
  { route }: ActiveRequest,
  timeToHeadMs: Millis,
): void {
  const typicalMs = state.typicalTimeToHeadMs.get(route.name) ?? timeToHeadMs;
  state.typicalTimeToHeadMs.set(
    route.name,
    typicalMs + (timeToHeadMs - typicalMs) * TIME_TO_HEAD_WEIGHT,
  );
}

/** Whether the answer is the first one, or continues the stream that began. */
function mayRelay(
  { answerStarted, relayedHead }: ActiveRequest,
  head: AnswerHead,
): boolean {
  return !answerStarted ||
    relayedHead !== undefined && continuesStream(relayedHead, head);
}

function relayAnswer(
  request: ActiveRequest,
  attempt: ActiveAttempt,
  head: AnswerHead,
  nowMs: Millis,
): DirectEffect[] {
  request.snapshot =
    transitionRequest(request.snapshot, { type: "accepted" }).snapshot;
  request.answerStarted = true;
  request.runs.push(`${attempt.number}:${attempt.softwareVersion ?? ""}`);
  // Keep the status of the first attempt: when a stream is resumed, the caller
  // has already received that status.
  request.answerStatus ??= head.status;
  request.relayedHead ??= head;
  const effects: DirectEffect[] = [
    {
      type: "relay",
      key: request.key,
      attemptNumber: attempt.number,
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

/**
 * Retries a request after the endpoint confirmed that the request did not run.
 */
function retryAfterNotRun(
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
      attemptNumber: attempt.number,
      closeConnection: false,
    },
    ...reportFailure(state, request, attempt, nowMs, {
      kind: "refused",
      sent: true,
      detail: `status ${head.status}, not run`,
    }),
    ...retryOrFail(
      state,
      request,
      nowMs,
      "endpoints_refused",
      request.answerStarted,
    ),
  ];
}

/**
 * Handles an error answer to a request that the endpoint may have executed, or an
 * answer that does not continue the stream which the caller is receiving. Retries
 * the request if it may run again. Otherwise aborts the answer if it was partly
 * relayed, relays the error answer if that is permitted, or refuses the request.
 */
function handleErrorAnswer(
  state: DirectState,
  request: ActiveRequest,
  attempt: ActiveAttempt,
  head: AnswerHead,
  nowMs: Millis,
): DirectEffect[] {
  attempt.endpoint.failureRate.record(nowMs, true);
  request.possibleExecutions++;
  if (!request.answerStarted && !canRetry(state, request, nowMs)) {
    return canRelayErrorAnswer(head)
      ? relayAnswer(request, attempt, head, nowMs)
      : [
        ...discardAttempt(request, attempt),
        ...refuse(state, request, nowMs, "endpoint_failed"),
      ];
  }
  const effects: DirectEffect[] = [
    ...discardAttempt(request, attempt),
    ...reportFailure(state, request, attempt, nowMs, {
      kind: "error",
      sent: true,
      detail: `status ${head.status}`,
    }),
  ];
  return [
    ...effects,
    ...retryOrFail(state, request, nowMs, "endpoint_failed", true),
  ];
}

function discardAttempt(
  request: ActiveRequest,
  attempt: ActiveAttempt,
): DirectEffect[] {
  closeAttempt(request);
  return [{
    type: "discard_attempt",
    key: request.key,
    attemptNumber: attempt.number,
    closeConnection: false,
  }];
}

/**
 * Whether the route, the deadline and the size of the pool allow a retry. Does
 * not check the retry budget.
 */
function canRetry(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): boolean {
  const { route } = request;
  return isRetryable(route) && request.possibleExecutions < route.maxAttempts &&
    nowMs < request.deadlineAtMs &&
    hasOtherEndpoint(state, request, nowMs);
}

/** Whether an endpoint other than the last one may serve the request. */
function hasOtherEndpoint(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): boolean {
  const lastId = [...request.triedEndpointIds].at(-1);
  return availableEndpoints(state, request, nowMs)
    .some((endpoint) => endpoint.id !== lastId && !endpoint.isGone(nowMs));
}

/**
 * Retries the request if the retry budget allows it and the request may run
 * again or cannot have run. Otherwise refuses the request, or aborts its answer
 * if a part of the answer was relayed. An attempt that reached no endpoint leaves
 * the budget as it was, since the endpoints get no more requests by its retry,
 * unless an earlier attempt may have run.
 */
function retryOrFail(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
  reason: DirectRefusalReason,
  canResume: boolean,
): DirectEffect[] {
  request.lastFailureReason = reason;
  const mayHaveRun = request.possibleExecutions > 0;
  const retryAllowed = mayHaveRun
    ? canRetry(state, request, nowMs) && (!request.answerStarted || canResume)
    : request.attemptCount <= MAX_NOT_RUN_RETRIES &&
      hasOtherEndpoint(state, request, nowMs);
  // The number of retries bounds those of requests that cannot have run.
  const isFree = !mayHaveRun && reason === "endpoints_unreachable";
  const willRetry = retryAllowed &&
    (isFree || tryConsumeRetry(state, request));
  const event = mayHaveRun
    ? { type: "failed_unknown", mayRetry: willRetry } as const
    : { type: "refused_not_run", mayTryNext: willRetry } as const;
  request.snapshot = transitionRequest(request.snapshot, event).snapshot;
  if (willRetry) {
    return placeRequest(state, request, nowMs);
  }
  if (request.answerStarted) {
    return finishRequest(state, request, nowMs, "broken_off", reason);
  }
  return refuse(
    state,
    request,
    nowMs,
    retryAllowed ? "retry_budget_spent" : reason,
    mayHaveRun ? undefined : shortageOf(state, request, nowMs)?.retryAfterMs,
  );
}

/**
 * Whether a stalled attempt may be abandoned and retried at another endpoint.
 * This needs a route and a retry budget that allow the retry, and a ready
 * endpoint that was not tried. Otherwise the attempt continues, since a stall
 * alone is no reason to abort an answer.
 */
export function canRetryElsewhere(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): boolean {
  const { possibleExecutions, relayedHead, route, service, triedEndpointIds } =
    request;
  return isRetryable(route) && (!relayedHead || canBeContinued(relayedHead)) &&
    possibleExecutions + 1 < route.maxAttempts &&
    availableEndpoints(state, request, nowMs)
      .some(({ id }) => !triedEndpointIds.has(id)) &&
    retryBalanceOf(state, service).allowsRetry(retryLimitsOf(state));
}

function tryConsumeRetry(state: DirectState, request: ActiveRequest): boolean {
  return retryBalanceOf(state, request.service)
    .tryConsumeRetry(retryLimitsOf(state));
}

function roundToTenth(value: number): number {
  return Math.round(value * 10) / 10;
}

interface ReportedFailure {
  readonly kind: AttemptFailure["kind"] | "refused" | "error";
  readonly sent: boolean;
  readonly detail?: string;
}

/** Returns the effects that log and count a failed attempt. */
function reportFailure(
  state: DirectState,
  request: ActiveRequest,
  attempt: ActiveAttempt,
  nowMs: Millis,
  { detail, kind, sent }: ReportedFailure,
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
        ...answerFields(request),
        after_ms: Math.round(nowMs - attempt.startedMs),
        prompt_parts: sharedPromptParts(request.call).map(({ id }) => id)
          .join(",") || undefined,
        request_digest: kind === "reset" && sent
          ? request.call.contentDigest()
          : undefined,
        retries_left: roundToTenth(
          retryBalanceOf(state, request.service)
            .remaining(retryLimitsOf(state)),
        ),
        routers: state.fleetSize.routers,
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
