/**
 * Finishes a request: sends the answer, an error or a stored answer to the
 * caller, and releases the request's state.
 */
import type { RequestResult } from "../report/index.js";
import { streamHeadOf } from "../stream_continuation.js";
import { releaseRequest } from "./admit_request.js";
import { discardProbes, isEvacuated, sendTo } from "./place_request.js";
import { errorForRefusal, requestErrors } from "./request_errors.js";
import type { RequestActionType } from "./request_machine.js";
import type { ErrorAnswer } from "./router_event.js";
import {
  recordExplainStep,
  recordMetric,
  type RequestState,
  type RouterContext,
  sidecarConnectionOf,
} from "./router_state.js";

/**
 * Removes the current attempt from this router's state; later frames for it are
 * dropped. No message is sent to the sidecar.
 */
export function detachAttempt(ctx: RouterContext, request: RequestState) {
  const attempt = request.attempt;
  if (!attempt) {
    return;
  }
  ctx.state.requestsByAttempt.delete(attempt.attemptId);
  sidecarConnectionOf(ctx.state, attempt.endpointId).attemptIds.delete(
    attempt.attemptId,
  );
  request.attempt = undefined;
}

/** Sends a cancel frame for the current attempt, if there is one. */
export function cancelAttempt(ctx: RouterContext, request: RequestState) {
  const attempt = request.attempt;
  if (attempt) {
    sendTo(ctx, attempt.endpointId, {
      type: "cancel",
      attemptId: attempt.attemptId,
    });
  }
}

/** Completes an answer: sends buffered data and ends the response. */
export function finishAnswer(ctx: RouterContext, request: RequestState) {
  const { requestId } = request.request;
  flushBufferedAnswer(ctx, request);
  ctx.effects.push({ type: "respond_end", requestId }, {
    type: "log",
    event: "request_finished",
    fields: {
      request_id: requestId,
      account: request.account.name,
      endpoint: request.attempt?.endpointId,
      attempts: request.attemptCount,
    },
  });
  closeRequest(ctx, request, "answered");
}

/** Ends a request whose caller has closed the connection. */
export function finishDisconnected(ctx: RouterContext, request: RequestState) {
  closeRequest(ctx, request, "caller_gone");
}

/** Sends the buffered head and data, if any, to the caller. */
export function flushBufferedAnswer(ctx: RouterContext, request: RequestState) {
  const { bufferedAnswer } = request;
  if (!bufferedAnswer) {
    return;
  }
  request.bufferedAnswer = undefined;
  respondHead(
    ctx,
    request,
    bufferedAnswer.head.status,
    bufferedAnswer.head.headers,
  );
  for (const part of bufferedAnswer.parts) {
    ctx.effects.push({
      type: "respond_data",
      requestId: request.request.requestId,
      data: part,
    });
  }
}

function respondHead(
  ctx: RouterContext,
  request: RequestState,
  status: number,
  headers: Readonly<Record<string, string>>,
): void {
  const { requestId } = request.request;
  request.headSent = true;
  request.sentHead = streamHeadOf(status, headers);
  ctx.effects.push({
    type: "respond_head",
    requestId,
    status,
    headers: {
      ...headers,
      "anvildeal-request": requestId,
      "anvildeal-endpoint": request.attempt?.endpointId ?? "none",
    },
  });
}

/**
 * Ends a request that no endpoint answered: replays the stored answer of an
 * earlier call with the same idempotency key, or responds with an error.
 */
export function finishUnanswered(
  ctx: RouterContext,
  request: RequestState,
  action: RequestActionType,
): void {
  const lastRefusal = request.lastRefusal;
  if (action === "answerRefusal" && lastRefusal?.answer) {
    replayAnswer(ctx, request, lastRefusal.answer);
    return;
  }
  finishWithError(ctx, request, errorForAction(ctx, request, action));
}

/** Responds with an error, or aborts the response if its head was already sent. */
export function finishWithError(
  ctx: RouterContext,
  request: RequestState,
  lastAttemptError: ErrorAnswer,
): void {
  const { requestId } = request.request;
  // Even if the last attempt did not run, an earlier one may have run.
  const error: ErrorAnswer = request.executions > 0
    ? { ...lastAttemptError, outcome: "unknown" }
    : lastAttemptError;
  if (request.headSent) {
    ctx.effects.push({ type: "respond_abort", requestId });
  } else {
    ctx.effects.push({
      type: "respond_error",
      requestId,
      error,
      endpointId: request.attempt?.endpointId,
    });
  }
  ctx.effects.push({
    type: "log",
    event: "request_given_up",
    fields: {
      request_id: requestId,
      account: request.account.name,
      code: error.code,
      outcome: error.outcome,
      attempts: request.attemptCount,
    },
  });
  recordExplainStep(ctx, request, "given up", {
    detail: `${error.code}, outcome ${error.outcome}`,
  });
  closeRequest(ctx, request, error.code, error);
}

function errorForAction(
  ctx: RouterContext,
  request: RequestState,
  action: RequestActionType,
): ErrorAnswer {
  const lastRefusal = request.lastRefusal;
  switch (action) {
    case "answerDeadline":
      recordMetric(ctx, "deadline_missed_total", { pool: request.pool.name });
      return requestErrors.deadline(mayHaveRun(request));
    case "answerOutcomeUnknown":
      return requestErrors.outcomeUnknown("the endpoint did not answer");
    case "answerRefusal":
      return lastRefusal
        ? errorForRefusal(lastRefusal)
        : requestErrors.outcomeUnknown("refused");
    default:
      // An earlier attempt of the request may have run even if the last one
      // did not.
      return request.executions > 0
        ? requestErrors.outcomeUnknown("no endpoint could take the retry")
        : isEvacuated(ctx, request)
        ? requestErrors.domainEvacuated()
        : requestErrors.noEndpoint(lastRefusal?.reason ?? "none is usable");
  }
}

/** Whether any attempt may have reached an endpoint. */
function mayHaveRun(request: RequestState): boolean {
  return request.executions > 0 || request.attempt !== undefined;
}

function replayAnswer(
  ctx: RouterContext,
  request: RequestState,
  answer: NonNullable<NonNullable<RequestState["lastRefusal"]>["answer"]>,
): void {
  const { requestId } = request.request;
  respondHead(ctx, request, answer.status, {
    ...answer.headers,
    "idempotent-replayed": "true",
  });
  if (answer.body) {
    ctx.effects.push({ type: "respond_data", requestId, data: answer.body });
  }
  ctx.effects.push({ type: "respond_end", requestId });
  closeRequest(ctx, request, "replayed");
}

function closeRequest(
  ctx: RouterContext,
  request: RequestState,
  result: string,
  error?: ErrorAnswer,
): void {
  detachAttempt(ctx, request);
  discardProbes(ctx, request);
  releaseRequest(ctx, request);
  recordMetric(ctx, "requests_total", { kind: request.request.kind, result });
  recordMetric(
    ctx,
    "request_ms",
    { pool: request.pool.name },
    ctx.nowMs - request.receivedAtMs,
  );
  ctx.effects.push({
    type: "request_ended",
    result: toRequestResult(ctx, request, result, error),
  });
}

/**
 * Returns the result from which service-level objectives are evaluated. Fields
 * that do not apply to the request's outcome are undefined.
 */
function toRequestResult(
  { nowMs }: RouterContext,
  request: RequestState,
  result: string,
  error: ErrorAnswer | undefined,
): RequestResult {
  const { receivedAtMs, firstDataAtMs, chunkCount, lastRefusal } = request;
  const isServed = result === "answered" || result === "replayed";
  const isServerError = error !== undefined && error.status >= 500;
  const isAnswerIncomplete = request.headSent || error?.outcome === "unknown";
  const hasTokenIntervals = isServed && firstDataAtMs !== undefined &&
    chunkCount > 1;
  return {
    account: request.account.name,
    pool: request.pool.name,
    elapsedMs: nowMs - receivedAtMs,
    firstTokenMs: firstDataAtMs === undefined
      ? undefined
      : firstDataAtMs - receivedAtMs,
    meanInterTokenMs: hasTokenIntervals
      ? (nowMs - firstDataAtMs) / (chunkCount - 1)
      : undefined,
    deadlineMet: isServed
      ? nowMs <= request.deadlineAtMs
      : isServerError
      ? false
      : undefined,
    whole: isServed ? true : error && isAnswerIncomplete ? false : undefined,
    available: isServed ? true : isServerError ? false : undefined,
    reason: error?.code === "overloaded" && lastRefusal
      ? lastRefusal.reason
      : result,
  };
}
