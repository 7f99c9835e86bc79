/** Handles the frames with which a sidecar answers an attempt. */
import type { Millis } from "../clock.js";
import type {
  EndpointStatus,
  MessageOf,
  RefusalReason,
} from "../wire/index.js";
import { continuesStream, streamHeadOf } from "../stream_continuation.js";
import {
  cancelAttempt,
  detachAttempt,
  flushBufferedAnswer,
} from "./finish_request.js";
import { sendTo } from "./place_request.js";
import type { RequestMachineEvent } from "./request_machine.js";
import {
  type AttemptState,
  recordExplainStep,
  recordMetric,
  type RequestState,
  type RouterContext,
  sidecarConnectionOf,
} from "./router_state.js";

/**
 * An answer that is not a stream is buffered up to this size, so that another
 * attempt can replace it if the endpoint fails before the end.
 */
const MAX_BUFFERED_ANSWER_BYTES = 1024 * 1024;

/** Number of received frames after which an ack is sent. */
const ACK_INTERVAL_FRAMES = 32;

/**
 * Amount of received data after which an ack is sent, whatever the frame count.
 * A sidecar whose buffer of unacknowledged data is full stops sending, so with
 * large frames the frame count might never be reached. The value is half of the
 * smallest stream buffer.
 */
const ACK_INTERVAL_BYTES = 32 * 1024;

/**
 * Maximum number of executions of a request, even if the retry budgets allow
 * more.
 */
const MAX_EXECUTIONS = 3;

/** Time for which a request waits for the configuration that a sidecar requires. */
const CONFIG_WAIT_MS: Millis = 2000;

/** Reasons for which any other endpoint would refuse the request, too. */
const FINAL_REFUSAL_REASONS: ReadonlySet<RefusalReason> = new Set([
  "duplicate_running",
  "duplicate_finished",
  "duplicate_unknown",
  "fingerprint_mismatch",
  "store_unavailable",
]);

/** Frames of an answer. Their field `seq` numbers them within an attempt. */
type AnswerFrame =
  | MessageOf<"head">
  | MessageOf<"chunk">
  | MessageOf<"end">
  | MessageOf<"failed">;

/**
 * Event for the request's state machine that results from a received frame, if
 * any.
 */
export type AnswerResult = RequestMachineEvent | undefined;

/**
 * Checks that a numbered frame is the next one of the request's current attempt
 * and comes from the endpoint that the attempt was sent to. Returns false for
 * any other frame, after logging it; such a frame must not reach the caller.
 */
export function isExpectedFrame(
  ctx: RouterContext,
  request: RequestState | undefined,
  endpointId: string,
  frame: AnswerFrame,
): request is RequestState & { attempt: AttemptState } {
  const attempt = request?.attempt;
  const reason = !attempt || attempt.attemptId !== frame.attemptId
    ? "unknown_attempt"
    : attempt.endpointId !== endpointId
    ? "wrong_endpoint"
    : attempt.expectedSeq !== frame.seq
    ? "wrong_seq"
    : undefined;
  if (reason === undefined) {
    return true;
  }
  recordMetric(ctx, "frames_dropped_total", { reason });
  ctx.effects.push({
    type: "log",
    event: "frame_dropped",
    fields: { endpoint: endpointId, attempt_id: frame.attemptId, reason },
  });
  return false;
}

/**
 * Buffers the head of an answer. If a head was already sent to the caller, the
 * answer must continue that one's stream; else the attempt has failed.
 */
export function receiveHead(
  ctx: RouterContext,
  request: RequestState & { attempt: AttemptState },
  head: MessageOf<"head">,
): AnswerResult {
  request.attempt.expectedSeq++;
  request.attempt.resumeDeadlineAtMs = undefined;
  const { sentHead } = request;
  if (sentHead) {
    if (!continuesStream(sentHead, streamHeadOf(head.status, head.headers))) {
      cancelAttempt(ctx, request);
      return failAttemptWithUnknownOutcome(ctx, request, "other_answer");
    }
    return { type: "accepted" };
  }
  // As long as the head has not been sent, the caller can be sent an error status
  // if the attempt fails. The head of a stream is buffered until its first event.
  request.bufferedAnswer = { head, parts: [], bytes: 0 };
  return { type: "accepted" };
}

/** Buffers answer data or sends it to the caller. */
export function receiveChunk(
  ctx: RouterContext,
  request: RequestState & { attempt: AttemptState },
  chunk: MessageOf<"chunk">,
): AnswerResult {
  const { attempt } = request;
  attempt.expectedSeq++;
  attempt.resumeDeadlineAtMs = undefined;
  recordFirstData(ctx, request);
  request.chunkCount++;
  if (request.bufferedAnswer && isStream(request.bufferedAnswer.head)) {
    flushBufferedAnswer(ctx, request);
  }
  if (request.bufferedAnswer) {
    bufferChunk(ctx, request, chunk.data);
  } else {
    if (request.idempotent && request.request.kind === "chat") {
      request.deliveredData.push(chunk.data);
    }
    ctx.effects.push({
      type: "respond_data",
      requestId: request.request.requestId,
      data: chunk.data,
    });
  }
  attempt.unackedBytes += chunk.data.length;
  const isAckDue = attempt.unackedBytes >= ACK_INTERVAL_BYTES;
  acknowledgeFrames(ctx, request, isAckDue ? 1 : ACK_INTERVAL_FRAMES);
  return undefined;
}

/**
 * Handles the frame with which a sidecar reports that the answer is complete.
 */
export function receiveEnd(
  ctx: RouterContext,
  request: RequestState & { attempt: AttemptState },
  end: MessageOf<"end">,
): AnswerResult {
  request.attempt.expectedSeq++;
  acknowledgeFrames(ctx, request, 1);
  recordUsage(ctx, request, end);
  ctx.state.chatEndpoints.set(
    request.request.chatId,
    request.attempt.endpointId,
  );
  recordExplainStep(ctx, request, "answered", {
    endpointId: request.attempt.endpointId,
    detail: end.usage
      ? `${end.usage.cachedTokens} of ${end.usage.promptTokens} prompt tokens cached`
      : undefined,
  });
  return { type: "ended" };
}

/** Handles the sidecar's refusal of an attempt. */
export function receiveRefused(
  ctx: RouterContext,
  request: RequestState,
  endpointId: string,
  refused: MessageOf<"refused">,
): AnswerResult {
  const attempt = request.attempt;
  if (
    !attempt || attempt.attemptId !== refused.attemptId ||
    attempt.endpointId !== endpointId
  ) {
    recordMetric(ctx, "frames_dropped_total", { reason: "unknown_attempt" });
    return undefined;
  }
  request.lastRefusal = refused;
  recordMetric(ctx, "refusals_total", { reason: refused.reason });
  recordExplainStep(ctx, request, "refused", {
    endpointId,
    detail: `${refused.reason}, outcome ${refused.outcome}`,
  });
  if (FINAL_REFUSAL_REASONS.has(refused.reason)) {
    return { type: "final_refusal" };
  }
  if (!isProvenNotRun(attempt, refused)) {
    return failAttemptWithUnknownOutcome(ctx, request, "lost_attempt");
  }
  detachAttempt(ctx, request);
  addAlternatives(request, refused.alternatives);
  if (refused.reason === "stale_config") {
    waitForConfig(ctx, request, endpointId, refused.facts);
  }
  // A buffered answer belongs to the refused attempt and must not be sent.
  request.bufferedAnswer = undefined;
  return { type: "refused_not_run", mayTryNext: true };
}

/** Handles the sidecar's report that the call to the endpoint failed. */
export function receiveFailed(
  ctx: RouterContext,
  request: RequestState & { attempt: AttemptState },
  failed: MessageOf<"failed">,
): AnswerResult {
  request.attempt.expectedSeq++;
  // A draining sidecar retains the attempt until the router has acknowledged
  // the last frame.
  acknowledgeFrames(ctx, request, 1);
  recordExplainStep(ctx, request, "failed", {
    endpointId: request.attempt.endpointId,
    detail: `${failed.reason}, outcome ${failed.outcome}`,
  });
  if (failed.outcome === "not-run") {
    detachAttempt(ctx, request);
    return { type: "refused_not_run", mayTryNext: true };
  }
  return failAttemptWithUnknownOutcome(ctx, request, "endpoint_failed");
}

/**
 * Handles the failure of an attempt that may have run. The request is retried
 * only if it may be executed again and the retry budgets of the account and of
 * this router allow it.
 */
export function failAttemptWithUnknownOutcome(
  ctx: RouterContext,
  request: RequestState,
  cause: string,
): RequestMachineEvent {
  request.executions++;
  request.bufferedAnswer = undefined;
  const mayRetry = isRetryable(ctx, request) && consumeRetry(ctx, request);
  if (mayRetry) {
    detachAttempt(ctx, request);
    recordMetric(ctx, "repeats_total", { cause });
    recordExplainStep(ctx, request, "repeated", { detail: cause });
    ctx.effects.push({
      type: "log",
      event: "request_repeated",
      fields: { request_id: request.request.requestId, cause },
    });
  }
  return { type: "failed_unknown", mayRetry };
}

/**
 * Sends an ack if at least `minFrames` received frames are unacknowledged. The
 * sidecar then drops its copies of these frames. While the caller's socket is
 * full, no ack is sent, so the sidecar stops sending once its buffer is full.
 */
export function acknowledgeFrames(
  ctx: RouterContext,
  request: RequestState,
  minFrames: number,
): void {
  const attempt = request.attempt;
  if (!attempt || request.callerCongested) {
    return;
  }
  if (attempt.expectedSeq - attempt.ackedSeq >= minFrames) {
    attempt.ackedSeq = attempt.expectedSeq;
    attempt.unackedBytes = 0;
    sendTo(ctx, attempt.endpointId, {
      type: "ack",
      attemptId: attempt.attemptId,
      nextSeq: attempt.expectedSeq,
    });
  }
}

/** Records the endpoint status that a sidecar attached to a message. */
export function recordEndpointStatus(
  ctx: RouterContext,
  endpointId: string,
  status: EndpointStatus,
): void {
  const connection = sidecarConnectionOf(ctx.state, endpointId);
  connection.status = status;
  connection.statusAtMs = ctx.nowMs;
}

/**
 * Whether a refusal proves that the attempt did not run. If the sidecar does not
 * know the attempt, this is proven only if the submit frame was sent to the same
 * incarnation: an earlier process of the sidecar may have run the attempt.
 */
function isProvenNotRun(
  attempt: AttemptState,
  refused: MessageOf<"refused">,
): boolean {
  if (refused.outcome !== "not-run") {
    return false;
  }
  return refused.reason !== "unknown_attempt" ||
    attempt.incarnation === undefined ||
    attempt.incarnation === refused.facts.incarnation;
}

function isRetryable(ctx: RouterContext, request: RequestState): boolean {
  if (ctx.state.options.retryUnconditionally) {
    return request.executions < MAX_EXECUTIONS && !request.headSent;
  }
  const canContinue = !request.headSent ||
    request.request.kind === "chat" &&
      request.pool.dialect === "openai_resumable";
  return request.idempotent && request.account.retry_allowed && canContinue &&
    request.executions < MAX_EXECUTIONS;
}

function consumeRetry(ctx: RouterContext, request: RequestState): boolean {
  if (ctx.state.options.retryUnconditionally) {
    return true;
  }
  const isConsumed = ctx.state.retryBudget.tryConsumeRetry(
    request.account.name,
  );
  if (!isConsumed) {
    recordMetric(ctx, "repeats_denied_total");
  }
  return isConsumed;
}

/**
 * Appends the alternatives of a refusal to the remaining candidates. The
 * candidates come first because they may have the prompt prefix cached, while
 * the sidecar chose the alternatives by load alone.
 */
function addAlternatives(
  request: RequestState,
  alternativeIds: readonly string[],
) {
  const newAlternativeIds = alternativeIds.filter((id) =>
    !request.triedEndpointIds.has(id) && !request.nextEndpointIds.includes(id)
  );
  request.nextEndpointIds.push(...newAlternativeIds);
}

function waitForConfig(
  ctx: RouterContext,
  request: RequestState,
  endpointId: string,
  status: EndpointStatus,
): void {
  ctx.effects.push({
    type: "config_hint",
    configVersion: status.configVersion,
    peerId: endpointId,
  });
  // Only this router's old configuration caused the refusal, so the endpoint
  // remains the first choice.
  request.triedEndpointIds.delete(endpointId);
  request.nextEndpointIds.unshift(endpointId);
  request.configWait = {
    version: status.configVersion,
    untilMs: ctx.nowMs + CONFIG_WAIT_MS,
  };
}

function isStream(head: MessageOf<"head">): boolean {
  return head.headers["content-type"]?.startsWith("text/event-stream") ?? false;
}

function bufferChunk(
  ctx: RouterContext,
  request: RequestState,
  data: Uint8Array,
): void {
  const bufferedAnswer = request.bufferedAnswer;
  if (!bufferedAnswer) {
    return;
  }
  bufferedAnswer.parts.push(data);
  bufferedAnswer.bytes += data.length;
  if (bufferedAnswer.bytes > MAX_BUFFERED_ANSWER_BYTES) {
    flushBufferedAnswer(ctx, request);
  }
}

function recordFirstData(ctx: RouterContext, request: RequestState) {
  if (request.firstDataAtMs !== undefined) {
    return;
  }
  request.firstDataAtMs = ctx.nowMs;
  recordMetric(
    ctx,
    "first_token_ms",
    { pool: request.pool.name },
    ctx.nowMs - request.receivedAtMs,
  );
}

function recordUsage(
  ctx: RouterContext,
  request: RequestState,
  { usage }: MessageOf<"end">,
): void {
  const labels = { pool: request.pool.name };
  const { firstDataAtMs, chunkCount } = request;
  if (firstDataAtMs !== undefined && chunkCount > 1) {
    const decodeMs = ctx.nowMs - firstDataAtMs;
    recordMetric(ctx, "inter_token_ms", labels, decodeMs / (chunkCount - 1));
  }
  if (usage) {
    recordMetric(ctx, "prompt_tokens_total", labels, usage.promptTokens);
    recordMetric(ctx, "cached_tokens_total", labels, usage.cachedTokens);
    recordMetric(ctx, "output_tokens_total", labels, usage.outputTokens);
  }
}
