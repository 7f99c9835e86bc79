import type { RequestResult } from "../report/index.js";
import { releaseRequest } from "./admit_request.js";
import { abandonProbes, sendTo } from "./place_request.js";
import { errorOfRefusal, requestErrors } from "./request_errors.js";
import type { RequestActionType } from "./request_machine.js";
import type { ErrorAnswer } from "./router_event.js";
import {
  contactOf,
  explain,
  measure,
  type RequestState,
  type RouterContext,
} from "./router_state.js";

/** Ends the current attempt on this side; frames for it are dropped. */
export function detachAttempt(ctx: RouterContext, request: RequestState) {
  const attempt = request.attempt;
  if (!attempt) {
    return;
  }
  ctx.state.requestsByAttempt.delete(attempt.attemptId);
  contactOf(ctx.state, attempt.endpointId).attemptIds.delete(
    attempt.attemptId,
  );
  request.attempt = undefined;
}

/** Tells the sidecar that nobody waits for the attempt any more. */
export function cancelAttempt(ctx: RouterContext, request: RequestState) {
  const attempt = request.attempt;
  if (attempt) {
    sendTo(ctx, attempt.endpointId, {
      type: "cancel",
      attemptId: attempt.attemptId,
    });
  }
}

/** Completes an answer: sends what was held back and ends the response. */
export function finishAnswer(ctx: RouterContext, request: RequestState) {
  const { requestId } = request.request;
  flushHeld(ctx, request);
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
  close(ctx, request, "answered");
}

/** Releases a request whose caller has closed the connection. */
export function dropCaller(ctx: RouterContext, request: RequestState) {
  close(ctx, request, "caller_gone");
}

/** Sends the held head and data to the caller. */
export function flushHeld(ctx: RouterContext, request: RequestState) {
  const { held } = request;
  if (!held) {
    return;
  }
  request.held = undefined;
  respondHead(ctx, request, held.head.status, held.head.headers);
  for (const data of held.parts) {
    ctx.effects.push({
      type: "respond_data",
      requestId: request.request.requestId,
      data,
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

/** Carries out the end of a request that its state machine asks for. */
export function giveUp(
  ctx: RouterContext,
  request: RequestState,
  action: RequestActionType,
): void {
  const refused = request.lastRefusal;
  if (action === "answerRefusal" && refused?.answer) {
    replayAnswer(ctx, request, refused.answer);
    return;
  }
  answerError(ctx, request, errorFor(ctx, request, action));
}

/** Answers with an error, or cuts the response when its head has left. */
export function answerError(
  ctx: RouterContext,
  request: RequestState,
  refusal: ErrorAnswer,
): void {
  const { requestId } = request.request;
  // What the last attempt says of itself is not true of the earlier ones.
  const error: ErrorAnswer = request.executions > 0
    ? { ...refusal, outcome: "unknown" }
    : refusal;
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
  explain(ctx, request, "given up", {
    detail: `${error.code}, outcome ${error.outcome}`,
  });
  close(ctx, request, error.code, error);
}

function errorFor(
  ctx: RouterContext,
  request: RequestState,
  action: RequestActionType,
): ErrorAnswer {
  const refused = request.lastRefusal;
  switch (action) {
    case "answerDeadline":
      measure(ctx, "deadline_missed_total", { pool: request.pool.name });
      return requestErrors.deadline(mayHaveRun(request));
    case "giveUpUnknown":
      return requestErrors.lost("the endpoint did not answer");
    case "answerRefusal":
      return refused ? errorOfRefusal(refused) : requestErrors.lost("refused");
    default:
      // Earlier attempts of the same request may have run even though the
      // last one did not.
      return request.executions > 0
        ? requestErrors.lost("no endpoint could take the repeat")
        : requestErrors.noEndpoint(refused?.reason ?? "none is usable");
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
  close(ctx, request, "replayed");
}

function close(
  ctx: RouterContext,
  request: RequestState,
  result: string,
  error?: ErrorAnswer,
): void {
  detachAttempt(ctx, request);
  abandonProbes(ctx, request);
  releaseRequest(ctx, request);
  measure(ctx, "requests_total", { kind: request.request.kind, result });
  measure(
    ctx,
    "request_ms",
    { pool: request.pool.name },
    ctx.nowMs - request.receivedAtMs,
  );
  ctx.effects.push({
    type: "request_ended",
    result: resultOf(ctx, request, result, error),
  });
}

/** The end of a request as service-level objectives judge it. */
function resultOf(
  { nowMs }: RouterContext,
  request: RequestState,
  result: string,
  error: ErrorAnswer | undefined,
): RequestResult {
  const { receivedAtMs, firstDataAtMs, chunkCount, lastRefusal } = request;
  const isServed = result === "answered" || result === "replayed";
  const isFault = error !== undefined && error.status >= 500;
  const isCut = request.headSent || error?.outcome === "unknown";
  const hasSpan = isServed && firstDataAtMs !== undefined && chunkCount > 1;
  return {
    account: request.account.name,
    pool: request.pool.name,
    elapsedMs: nowMs - receivedAtMs,
    firstTokenMs: firstDataAtMs === undefined
      ? undefined
      : firstDataAtMs - receivedAtMs,
    meanInterTokenMs: hasSpan
      ? (nowMs - firstDataAtMs) / (chunkCount - 1)
      : undefined,
    deadlineMet: isServed
      ? nowMs <= request.deadlineAtMs
      : isFault
      ? false
      : undefined,
    whole: isServed ? true : error && isCut ? false : undefined,
    available: isServed ? true : isFault ? false : undefined,
    reason: error?.code === "overloaded" && lastRefusal
      ? lastRefusal.reason
      : result,
  };
}
