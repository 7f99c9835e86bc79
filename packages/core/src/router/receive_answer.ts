import type { Millis } from "../clock.js";
import type {
  EndpointStatus,
  MessageOf,
  RefusalReason,
} from "../wire/index.js";
import { detachAttempt, flushHeld } from "./finish_request.js";
import { sendTo } from "./place_request.js";
import type { RequestMachineEvent } from "./request_machine.js";
import {
  type AttemptState,
  contactOf,
  explain,
  measure,
  type RequestState,
  type RouterContext,
} from "./router_state.js";

/**
 * An answer that is not a stream is held back up to this size, so that it can
 * be replaced as a whole when the endpoint fails half-way.
 */
const MAX_HELD_BYTES = 1024 * 1024;

/** Frames after which the sidecar may release its copies. */
const ACK_INTERVAL_FRAMES = 32;

/**
 * Data after which the sidecar may release its copies. It is half of the
 * smallest stream buffer: a sidecar whose buffer is full sends nothing more,
 * so the frame count alone would never be reached by large frames.
 */
const ACK_INTERVAL_BYTES = 32 * 1024;

/** A request is not executed more often than this, whatever the budget. */
const MAX_EXECUTIONS = 3;

/** How long a request waits for the configuration that a sidecar demands. */
const CONFIG_WAIT_MS: Millis = 2000;

/** Refusals that another endpoint would answer in the same way. */
const FINAL_REASONS: ReadonlySet<RefusalReason> = new Set([
  "duplicate_running",
  "duplicate_finished",
  "duplicate_unknown",
  "fingerprint_mismatch",
  "store_unavailable",
]);

type AnswerFrame =
  | MessageOf<"head">
  | MessageOf<"chunk">
  | MessageOf<"end">
  | MessageOf<"failed">;

/** Outcome of a frame for the life cycle of its request, if it has one. */
export type AnswerResult = RequestMachineEvent | undefined;

/**
 * Checks that a numbered frame is the next one of the current attempt of a
 * request and comes from the endpoint that the attempt was sent to. Anything
 * else is dropped, so that it cannot reach another caller.
 */
export function isExpected(
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
  measure(ctx, "frames_dropped_total", { reason });
  ctx.effects.push({
    type: "log",
    event: "frame_dropped",
    fields: { endpoint: endpointId, attempt_id: frame.attemptId, reason },
  });
  return false;
}

export function receiveHead(
  request: RequestState & { attempt: AttemptState },
  head: MessageOf<"head">,
): AnswerResult {
  request.attempt.expectedSeq++;
  request.attempt.resumeDeadlineMs = undefined;
  if (request.headSent) {
    // A continuation after a failed attempt; the caller has a head already.
    return { type: "accepted" };
  }
  // Without data the request can still be answered with a proper error, so
  // that the head of a stream waits for its first event.
  request.held = { head, parts: [], bytes: 0 };
  return { type: "accepted" };
}

export function receiveChunk(
  ctx: RouterContext,
  request: RequestState & { attempt: AttemptState },
  chunk: MessageOf<"chunk">,
): AnswerResult {
  const { attempt } = request;
  attempt.expectedSeq++;
  attempt.resumeDeadlineMs = undefined;
  noteFirstData(ctx, request);
  request.chunkCount++;
  if (request.held && isStream(request.held.head)) {
    flushHeld(ctx, request);
  }
  if (request.held) {
    holdChunk(ctx, request, chunk.data);
  } else {
    if (request.idempotent && request.request.kind === "chat") {
      request.delivered.push(chunk.data);
    }
    ctx.effects.push({
      type: "respond_data",
      requestId: request.request.requestId,
      data: chunk.data,
    });
  }
  attempt.unackedBytes += chunk.data.length;
  const full = attempt.unackedBytes >= ACK_INTERVAL_BYTES;
  acknowledge(ctx, request, full ? 1 : ACK_INTERVAL_FRAMES);
  return undefined;
}

export function receiveEnd(
  ctx: RouterContext,
  request: RequestState & { attempt: AttemptState },
  end: MessageOf<"end">,
): AnswerResult {
  request.attempt.expectedSeq++;
  acknowledge(ctx, request, 1);
  noteUsage(ctx, request, end);
  ctx.state.chatEndpoints.set(
    request.request.chatId,
    request.attempt.endpointId,
  );
  explain(ctx, request, "answered", {
    endpointId: request.attempt.endpointId,
    detail: end.usage
      ? `${end.usage.cachedTokens} of ${end.usage.promptTokens} prompt tokens cached`
      : undefined,
  });
  return { type: "ended" };
}

/** Handles a refusal of the current attempt. */
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
    measure(ctx, "frames_dropped_total", { reason: "unknown_attempt" });
    return undefined;
  }
  request.lastRefusal = refused;
  measure(ctx, "refusals_total", { reason: refused.reason });
  explain(ctx, request, "refused", {
    endpointId,
    detail: `${refused.reason}, outcome ${refused.outcome}`,
  });
  if (FINAL_REASONS.has(refused.reason)) {
    return { type: "final_refusal" };
  }
  if (!isTrustedNotRun(attempt, refused)) {
    return failUnknown(ctx, request, "lost_attempt");
  }
  detachAttempt(ctx, request);
  addAlternatives(request, refused.alternatives);
  if (refused.reason === "stale_config") {
    awaitConfig(ctx, request, endpointId, refused.facts);
  }
  // A held answer belongs to the refused attempt and must not be sent.
  request.held = undefined;
  return { type: "refused_not_run", mayTryNext: true };
}

/** Handles the report that the endpoint failed during the attempt. */
export function receiveFailed(
  ctx: RouterContext,
  request: RequestState & { attempt: AttemptState },
  failed: MessageOf<"failed">,
): AnswerResult {
  request.attempt.expectedSeq++;
  // A draining sidecar waits for this before it counts as empty.
  acknowledge(ctx, request, 1);
  explain(ctx, request, "failed", {
    endpointId: request.attempt.endpointId,
    detail: `${failed.reason}, outcome ${failed.outcome}`,
  });
  if (failed.outcome === "not-run") {
    detachAttempt(ctx, request);
    return { type: "refused_not_run", mayTryNext: true };
  }
  return failUnknown(ctx, request, "endpoint_failed");
}

/**
 * Ends an attempt that may have run. It is repeated only if that is harmless
 * and the retry budgets of the account and of this router allow it.
 */
export function failUnknown(
  ctx: RouterContext,
  request: RequestState,
  cause: string,
): RequestMachineEvent {
  request.executions++;
  request.held = undefined;
  const mayRepeat = isRepeatable(ctx, request) && takeRetry(ctx, request);
  if (mayRepeat) {
    detachAttempt(ctx, request);
    measure(ctx, "repeats_total", { cause });
    explain(ctx, request, "repeated", { detail: cause });
    ctx.effects.push({
      type: "log",
      event: "request_repeated",
      fields: { request_id: request.request.requestId, cause },
    });
  }
  return { type: "failed_unknown", mayRepeat };
}

/** Releases frames at the sidecar that the caller has taken. */
export function acknowledge(
  ctx: RouterContext,
  request: RequestState,
  minFrames: number,
): void {
  const attempt = request.attempt;
  if (!attempt || request.congested) {
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

/** Notes the facts that an endpoint sent with an answer. */
export function noteFacts(
  ctx: RouterContext,
  endpointId: string,
  facts: EndpointStatus,
): void {
  const contact = contactOf(ctx.state, endpointId);
  contact.status = facts;
  contact.factsAtMs = ctx.nowMs;
}

/** A sidecar's promise holds only if it is the process that got the submit. */
function isTrustedNotRun(
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

function isRepeatable(ctx: RouterContext, request: RequestState): boolean {
  if (ctx.state.options.retryUnconditionally) {
    return request.executions < MAX_EXECUTIONS && !request.headSent;
  }
  const continuable = !request.headSent ||
    request.request.kind === "chat" &&
      request.pool.dialect === "openai_resumable";
  return request.idempotent && request.account.retry_allowed && continuable &&
    request.executions < MAX_EXECUTIONS;
}

function takeRetry(ctx: RouterContext, request: RequestState): boolean {
  if (ctx.state.options.retryUnconditionally) {
    return true;
  }
  const allowed = ctx.state.retries.tryConsumeRetry(request.account.name);
  if (!allowed) {
    measure(ctx, "repeats_denied_total");
  }
  return allowed;
}

/**
 * Adds the peers that a refusal names behind the remaining candidates: those
 * may be warm, while the least loaded peers usually are not.
 */
function addAlternatives(request: RequestState, ids: readonly string[]) {
  const added = ids.filter((id) =>
    !request.tried.has(id) && !request.nextIds.includes(id)
  );
  request.nextIds.push(...added);
}

function awaitConfig(
  ctx: RouterContext,
  request: RequestState,
  endpointId: string,
  facts: EndpointStatus,
): void {
  ctx.effects.push({
    type: "config_hint",
    version: facts.configVersion,
    peerId: endpointId,
  });
  // The endpoint itself did nothing wrong; it stays the first choice.
  request.tried.delete(endpointId);
  request.nextIds.unshift(endpointId);
  request.awaitsConfig = {
    version: facts.configVersion,
    untilMs: ctx.nowMs + CONFIG_WAIT_MS,
  };
}

function isStream(head: MessageOf<"head">): boolean {
  return head.headers["content-type"]?.startsWith("text/event-stream") ?? false;
}

function holdChunk(
  ctx: RouterContext,
  request: RequestState,
  data: Uint8Array,
): void {
  const held = request.held;
  if (!held) {
    return;
  }
  held.parts.push(data);
  held.bytes += data.length;
  if (held.bytes > MAX_HELD_BYTES) {
    flushHeld(ctx, request);
  }
}

function noteFirstData(ctx: RouterContext, request: RequestState) {
  if (request.firstDataAtMs !== undefined) {
    return;
  }
  request.firstDataAtMs = ctx.nowMs;
  measure(
    ctx,
    "first_token_ms",
    { pool: request.pool.name },
    ctx.nowMs - request.receivedAtMs,
  );
}

function noteUsage(
  ctx: RouterContext,
  request: RequestState,
  { usage }: MessageOf<"end">,
): void {
  const labels = { pool: request.pool.name };
  const { firstDataAtMs, chunkCount } = request;
  if (firstDataAtMs !== undefined && chunkCount > 1) {
    const spanMs = ctx.nowMs - firstDataAtMs;
    measure(ctx, "inter_token_ms", labels, spanMs / (chunkCount - 1));
  }
  if (usage) {
    measure(ctx, "prompt_tokens_total", labels, usage.promptTokens);
    measure(ctx, "cached_tokens_total", labels, usage.cachedTokens);
    measure(ctx, "output_tokens_total", labels, usage.outputTokens);
  }
}
