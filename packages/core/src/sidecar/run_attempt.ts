import type { StoredAnswer } from "../wire/index.js";
import { refuseAttempt } from "./admit_attempt.js";
import {
  advanceAttempt,
  type AttemptActionType,
  type AttemptMachineEvent,
} from "./attempt_machine.js";
import type { SidecarEvent } from "./sidecar_event.js";
import {
  type AnswerFrame,
  type AttemptState,
  factsOf,
  measure,
  type SidecarContext,
} from "./sidecar_state.js";

/** Answers of keyed calls above this size are not kept in their record. */
const MAX_STORED_ANSWER_BYTES = 64 * 1024;

/**
 * Twice the data after which a router acknowledges. A smaller buffer would
 * fill up before the first ack and stop the answer for good.
 */
const MIN_STREAM_BUFFER_BYTES = 64 * 1024;

type CallEvent<T extends SidecarEvent["type"]> = Extract<
  SidecarEvent,
  { type: T }
>;

/** Starts queued attempts while the endpoint has free slots. */
export function startQueued(ctx: SidecarContext): void {
  const { state } = ctx;
  while (state.running.size < state.pool.max_concurrent_requests) {
    const attempt = state.queue.dequeue();
    if (!attempt) {
      return;
    }
    if (ctx.nowMs - attempt.receivedAtMs > attempt.submit.startWithinMs) {
      refuseQueued(ctx, attempt, "start_window_passed");
      continue;
    }
    state.running.add(attempt.attemptId);
    measure(
      ctx,
      "queue_wait_ms",
      {},
      ctx.nowMs - attempt.receivedAtMs,
    );
    advance(ctx, attempt, {
      type: "slot_free",
      keyed: attempt.submit.idempotencyKey !== undefined,
    });
  }
}

/** Refuses an attempt that was taken off the queue or never recorded. */
export function refuseQueued(
  ctx: SidecarContext,
  attempt: AttemptState,
  reason: Parameters<typeof refuseAttempt>[3],
  details: Parameters<typeof refuseAttempt>[4] = {},
): void {
  refuseAttempt(ctx, attempt.connectionId, attempt.attemptId, reason, details);
  advance(ctx, attempt, { type: "refused" });
}

/** Advances the life cycle of an attempt and does what it asks for. */
export function advance(
  ctx: SidecarContext,
  attempt: AttemptState,
  event: AttemptMachineEvent,
): void {
  const { snapshot, actions } = advanceAttempt(attempt.snapshot, event);
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
    attempt.answer = { status, headers: { ...headers } };
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
  noteProgress(ctx, attempt, event.outputTokens);
  if (attempt.answer) {
    attempt.answerParts.push(event.data);
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
  noteDecodeRate(ctx, attempt);
  if (attempt.answer) {
    ctx.effects.push({
      type: "finish_record",
      attemptId: attempt.attemptId,
      answer: storedAnswer(attempt),
    });
  }
  advance(ctx, attempt, { type: "call_ended" });
  sendFrame(ctx, attempt, {
    type: "end",
    attemptId: attempt.attemptId,
    seq: attempt.nextSeq,
    facts: factsOf(ctx),
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
  // A recorded call counts as started, so its record and its outcome agree.
  const mayHaveRun = event.mayHaveRun ||
    attempt.submit.idempotencyKey !== undefined;
  advance(ctx, attempt, { type: "call_failed" });
  sendFrame(ctx, attempt, {
    type: "failed",
    attemptId: attempt.attemptId,
    seq: attempt.nextSeq,
    outcome: mayHaveRun ? "unknown" : "not-run",
    reason: event.reason,
    facts: factsOf(ctx),
  }, 0);
}

/** Releases frames that the caller has received. */
export function acknowledgeFrames(
  ctx: SidecarContext,
  attempt: AttemptState,
  nextSeq: number,
): void {
  while (attempt.frames.length > 0 && attempt.frames[0].seq < nextSeq) {
    const frame = attempt.frames.shift() as AnswerFrame;
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
  forgetIfDone(ctx, attempt);
}

/**
 * Drops the frames of an attempt that nobody will ask for again. A call that
 * runs on must not wait for acks that never come.
 */
export function abandon(ctx: SidecarContext, attempt: AttemptState): void {
  attempt.abandoned = true;
  acknowledgeFrames(ctx, attempt, attempt.nextSeq);
}

/** Removes an ended attempt once the router has all of its frames. */
export function forgetIfDone(ctx: SidecarContext, attempt: AttemptState) {
  if (attempt.endedAtMs !== undefined && attempt.frames.length === 0) {
    forget(ctx, attempt);
  }
}

export function forget(ctx: SidecarContext, attempt: AttemptState): void {
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
      ctx.state.ended.set(attemptId, "unknown");
      break;
    case "discard":
      endAttempt(ctx, attempt);
      attempt.frames.length = 0;
      if (!ctx.state.ended.has(attemptId)) {
        const mayHaveRun = attempt.startedAtMs !== undefined;
        ctx.state.ended.set(attemptId, mayHaveRun ? "unknown" : "not-run");
      }
      forget(ctx, attempt);
      break;
  }
}

function startCall(ctx: SidecarContext, attempt: AttemptState): void {
  attempt.startedAtMs = ctx.nowMs;
  for (const otherId of ctx.state.running) {
    if (otherId !== attempt.attemptId) {
      attempt.prefillAheadTokens +=
        ctx.state.attempts.get(otherId)?.remainingPromptTokens ?? 0;
    }
  }
  ctx.state.cache.touch(attempt.hashes);
  ctx.effects.push({
    type: "start_call",
    attemptId: attempt.attemptId,
    submit: attempt.submit,
  });
}

function endAttempt(ctx: SidecarContext, attempt: AttemptState): void {
  ctx.state.queue.remove(attempt.attemptId);
  ctx.state.running.delete(attempt.attemptId);
  attempt.remainingPromptTokens = 0;
  attempt.remainingOutputTokens = 0;
  attempt.endedAtMs = ctx.nowMs;
}

function sendFrame(
  ctx: SidecarContext,
  attempt: AttemptState,
  frame: AnswerFrame,
  bytes: number,
): void {
  attempt.nextSeq++;
  if (attempt.abandoned) {
    forgetIfDone(ctx, attempt);
    return;
  }
  attempt.frames.push(frame);
  attempt.unackedBytes += bytes;
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

/** Takes done work off the load and learns the prefill rate. */
function noteProgress(
  ctx: SidecarContext,
  attempt: AttemptState,
  outputTokens: number,
): void {
  if (attempt.firstDataAtMs === undefined) {
    attempt.firstDataAtMs = ctx.nowMs;
    attempt.remainingPromptTokens = 0;
    if (outputTokens > 0 && attempt.startedAtMs !== undefined) {
      ctx.state.rates.observePrefill(
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

function noteDecodeRate(ctx: SidecarContext, attempt: AttemptState): void {
  if (attempt.firstDataAtMs !== undefined && attempt.generatedTokens > 1) {
    ctx.state.rates.observeDecode(
      attempt.generatedTokens - 1,
      ctx.nowMs - attempt.firstDataAtMs,
    );
  }
}

function storedAnswer(attempt: AttemptState): StoredAnswer {
  const { status, headers } = attempt.answer ?? { status: 0, headers: {} };
  const bytes = attempt.answerParts.reduce((sum, part) => sum + part.length, 0);
  if (bytes > MAX_STORED_ANSWER_BYTES) {
    return { status, headers };
  }
  const body = new Uint8Array(bytes);
  let offset = 0;
  for (const part of attempt.answerParts) {
    body.set(part, offset);
    offset += part.length;
  }
  return { status, headers, body };
}
