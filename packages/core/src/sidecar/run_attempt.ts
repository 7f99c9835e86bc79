/**
 * Runs admitted attempts: starts calls, sends answer frames and ends attempts.
 */
import type { StoredAnswer } from "../wire/index.js";
import { refuseAttempt } from "./admit_attempt.js";
import {
  type AttemptActionType,
  type AttemptMachineEvent,
  transitionAttempt,
} from "./attempt_machine.js";
import type { SidecarEvent } from "./sidecar_event.js";
import {
  type AnswerFrame,
  type AttemptState,
  endpointStatusOf,
  recordMetric,
  type SidecarContext,
} from "./sidecar_state.js";

/**
 * Maximum size of an answer body in the execution record of an idempotency key;
 * a larger body is not stored.
 */
const MAX_STORED_ANSWER_BYTES = 64 * 1024;

/**
 * Minimum size of the stream buffer: twice the amount of data after which a
 * router sends an ack. A smaller buffer could fill up before the first ack and
 * block the answer forever.
 */
const MIN_STREAM_BUFFER_BYTES = 64 * 1024;

type CallEvent<T extends SidecarEvent["type"]> = Extract<
  SidecarEvent,
  { type: T }
>;

/**
 * Starts queued attempts while the endpoint has free slots. Refuses those whose
 * start window has passed.
 */
export function startQueuedAttempts(ctx: SidecarContext): void {
  const { state } = ctx;
  while (state.runningAttemptIds.size < state.pool.max_concurrent_requests) {
    const attempt = state.queue.dequeue();
    if (!attempt) {
      return;
    }
    if (ctx.nowMs - attempt.receivedAtMs > attempt.submit.startWithinMs) {
      refuseQueuedAttempt(ctx, attempt, "start_window_passed");
      continue;
    }
    state.runningAttemptIds.add(attempt.attemptId);
    recordMetric(
      ctx,
      "queue_wait_ms",
      {},
      ctx.nowMs - attempt.receivedAtMs,
    );
    advanceAttemptMachine(ctx, attempt, {
      type: "slot_free",
      hasIdempotencyKey: attempt.submit.idempotencyKey !== undefined,
    });
  }
}

/** Refuses an accepted attempt that has not started its call. */
export function refuseQueuedAttempt(
  ctx: SidecarContext,
  attempt: AttemptState,
  reason: Parameters<typeof refuseAttempt>[3],
  details: Parameters<typeof refuseAttempt>[4] = {},
): void {
  refuseAttempt(ctx, attempt.connectionId, attempt.attemptId, reason, details);
  advanceAttemptMachine(ctx, attempt, { type: "refused" });
}

/** Sends an event to an attempt's state machine and runs the resulting actions. */
export function advanceAttemptMachine(
  ctx: SidecarContext,
  attempt: AttemptState,
  event: AttemptMachineEvent,
): void {
  const { snapshot, actions } = transitionAttempt(attempt.snapshot, event);
  attempt.snapshot = snapshot;
  for (const action of actions) {
    runAction(ctx, attempt, action);
  }
}

export function receiveCallHead(
  ctx: SidecarContext,
  attempt: AttemptState,
  event: CallEvent<"call_head">,
): void {
  const { status, headers } = event;
  if (attempt.submit.idempotencyKey !== undefined) {
    attempt.answerHead = { status, headers: { ...headers } };
  }
  sendFrame(ctx, attempt, {
    type: "head",
    attemptId: attempt.attemptId,
    seq: attempt.nextSeq,
    status,
    headers: { ...headers },
  }, 0);
}

export function receiveCallData(
  ctx: SidecarContext,
  attempt: AttemptState,
  event: CallEvent<"call_data">,
): void {
  recordProgress(ctx, attempt, event.outputTokens);
  if (attempt.answerHead) {
    attempt.answerBodyParts.push(event.data);
  }
  sendFrame(ctx, attempt, {
    type: "chunk",
    attemptId: attempt.attemptId,
    seq: attempt.nextSeq,
    data: event.data,
  }, event.data.length);
}

export function receiveCallEnded(
  ctx: SidecarContext,
  attempt: AttemptState,
  event: CallEvent<"call_ended">,
): void {
  recordDecodeRate(ctx, attempt);
  if (attempt.answerHead) {
    ctx.effects.push({
      type: "finish_record",
      attemptId: attempt.attemptId,
      answer: toStoredAnswer(attempt),
    });
  }
  advanceAttemptMachine(ctx, attempt, { type: "call_ended" });
  sendFrame(ctx, attempt, {
    type: "end",
    attemptId: attempt.attemptId,
    seq: attempt.nextSeq,
    facts: endpointStatusOf(ctx),
    usage: event.usage,
  }, 0);
}

export function receiveCallFailed(
  ctx: SidecarContext,
  attempt: AttemptState,
  event: CallEvent<"call_failed">,
): void {
  ctx.effects.push({
    type: "log",
    event: "attempt_failed",
    fields: {
      attempt_id: attempt.attemptId,
      reason: event.reason,
      may_have_run: event.mayHaveRun,
    },
  });
  // If the call has an idempotency key, its execution record says that the call
  // was started, so the call must not be reported as not run.
  const mayHaveRun = event.mayHaveRun ||
    attempt.submit.idempotencyKey !== undefined;
  advanceAttemptMachine(ctx, attempt, { type: "call_failed" });
  sendFrame(ctx, attempt, {
    type: "failed",
    attemptId: attempt.attemptId,
    seq: attempt.nextSeq,
    outcome: mayHaveRun ? "unknown" : "not-run",
    reason: event.reason,
    facts: endpointStatusOf(ctx),
  }, 0);
}

/**
 * Drops the frames before `nextSeq`, which the router has acknowledged, and
 * resumes a paused call once the buffer is less than half full.
 */
export function releaseAcknowledgedFrames(
  ctx: SidecarContext,
  attempt: AttemptState,
  nextSeq: number,
): void {
  while (
    attempt.unackedFrames.length > 0 && attempt.unackedFrames[0].seq < nextSeq
  ) {
    const frame = attempt.unackedFrames.shift() as AnswerFrame;
    attempt.unackedBytes -= frameBytes(frame);
  }
  const resumeBelowBytes = bufferLimitBytes(ctx) / 2;
  if (attempt.paused && attempt.unackedBytes < resumeBelowBytes) {
    attempt.paused = false;
    ctx.effects.push({
      type: "pause_call",
      attemptId: attempt.attemptId,
      paused: false,
    });
  }
  removeIfAcknowledged(ctx, attempt);
}

/**
 * Drops the frames of an attempt that no router will resume. Later frames of
 * the attempt are not retained, so that a call that continues does not wait for
 * acks that never come.
 */
export function abandonAttempt(
  ctx: SidecarContext,
  attempt: AttemptState,
): void {
  attempt.abandoned = true;
  releaseAcknowledgedFrames(ctx, attempt, attempt.nextSeq);
}

/** Removes an ended attempt once all of its frames are acknowledged. */
export function removeIfAcknowledged(
  ctx: SidecarContext,
  attempt: AttemptState,
) {
  if (attempt.endedAtMs !== undefined && attempt.unackedFrames.length === 0) {
    removeAttempt(ctx, attempt);
  }
}

export function removeAttempt(
  ctx: SidecarContext,
  attempt: AttemptState,
): void {
  const { state } = ctx;
  state.attempts.delete(attempt.attemptId);
  state.connections.get(attempt.connectionId ?? "")?.attemptIds.delete(
    attempt.attemptId,
  );
}

function runAction(
  ctx: SidecarContext,
  attempt: AttemptState,
  action: AttemptActionType,
): void {
  const { attemptId, submit } = attempt;
  switch (action) {
    case "createRecord":
      ctx.effects.push({ type: "create_record", attemptId, submit });
      break;
    case "startCall":
      startCall(ctx, attempt);
      break;
    case "abortCall":
      ctx.effects.push({ type: "abort_call", attemptId });
      break;
    case "finish":
      endAttempt(ctx, attempt);
      ctx.state.endedOutcomes.set(attemptId, "unknown");
      break;
    case "discard":
      endAttempt(ctx, attempt);
      attempt.unackedFrames.length = 0;
      if (!ctx.state.endedOutcomes.has(attemptId)) {
        const mayHaveRun = attempt.startedAtMs !== undefined;
        ctx.state.endedOutcomes.set(
          attemptId,
          mayHaveRun ? "unknown" : "not-run",
        );
      }
      removeAttempt(ctx, attempt);
      break;
  }
}

function startCall(ctx: SidecarContext, attempt: AttemptState): void {
  attempt.startedAtMs = ctx.nowMs;
  for (const otherId of ctx.state.runningAttemptIds) {
    if (otherId !== attempt.attemptId) {
      attempt.prefillAheadTokens +=
        ctx.state.attempts.get(otherId)?.remainingPromptTokens ?? 0;
    }
  }
  ctx.state.cacheIndex.touch(attempt.promptPrefixHashes);
  ctx.effects.push({
    type: "start_call",
    attemptId: attempt.attemptId,
    submit: attempt.submit,
  });
}

function endAttempt(ctx: SidecarContext, attempt: AttemptState): void {
  ctx.state.queue.remove(attempt.attemptId);
  ctx.state.runningAttemptIds.delete(attempt.attemptId);
  attempt.remainingPromptTokens = 0;
  attempt.remainingOutputTokens = 0;
  attempt.endedAtMs = ctx.nowMs;
}

function sendFrame(
  ctx: SidecarContext,
  attempt: AttemptState,
  frame: AnswerFrame,
  bodyBytes: number,
): void {
  attempt.nextSeq++;
  if (attempt.abandoned) {
    removeIfAcknowledged(ctx, attempt);
    return;
  }
  attempt.unackedFrames.push(frame);
  attempt.unackedBytes += bodyBytes;
  if (attempt.connectionId !== undefined) {
    ctx.effects.push({
      type: "send",
      connectionId: attempt.connectionId,
      message: frame,
    });
  }
  if (!attempt.paused && attempt.unackedBytes > bufferLimitBytes(ctx)) {
    attempt.paused = true;
    ctx.effects.push({
      type: "pause_call",
      attemptId: attempt.attemptId,
      paused: true,
    });
  }
}

function bufferLimitBytes({ state }: SidecarContext): number {
  return Math.max(MIN_STREAM_BUFFER_BYTES, state.options.streamBufferBytes);
}

function frameBytes(frame: AnswerFrame): number {
  return frame.type === "chunk" ? frame.data.length : 0;
}

/**
 * Subtracts finished work from the attempt's remaining work, and records the
 * prefill rate at the first data.
 */
function recordProgress(
  ctx: SidecarContext,
  attempt: AttemptState,
  outputTokens: number,
): void {
  if (attempt.firstDataAtMs === undefined) {
    attempt.firstDataAtMs = ctx.nowMs;
    attempt.remainingPromptTokens = 0;
    if (outputTokens > 0 && attempt.startedAtMs !== undefined) {
      ctx.state.serviceRates.observePrefill(
        attempt.prefillAheadTokens + attempt.uncachedTokens,
        ctx.nowMs - attempt.startedAtMs,
      );
    }
  }
  attempt.generatedTokens += outputTokens;
  attempt.remainingOutputTokens = Math.max(
    0,
    attempt.remainingOutputTokens - outputTokens,
  );
}

function recordDecodeRate(ctx: SidecarContext, attempt: AttemptState): void {
  if (attempt.firstDataAtMs !== undefined && attempt.generatedTokens > 1) {
    ctx.state.serviceRates.observeDecode(
      attempt.generatedTokens - 1,
      ctx.nowMs - attempt.firstDataAtMs,
    );
  }
}

function toStoredAnswer(attempt: AttemptState): StoredAnswer {
  const { status, headers } = attempt.answerHead ?? { status: 0, headers: {} };
  const bytes = attempt.answerBodyParts.reduce(
    (sum, part) => sum + part.length,
    0,
  );
  if (bytes > MAX_STORED_ANSWER_BYTES) {
    return { status, headers };
  }
  const body = new Uint8Array(bytes);
  let offset = 0;
  for (const part of attempt.answerBodyParts) {
    body.set(part, offset);
    offset += part.length;
  }
  return { status, headers, body };
}
