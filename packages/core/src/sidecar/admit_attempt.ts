/** Admits submitted attempts to the queue, or refuses them. */
import { unpackHashes } from "../placement/index.js";
import { BLOCK_TOKENS } from "../placement/index.js";
import type {
  MessageOf,
  Outcome,
  RefusalReason,
  StoredAnswer,
  SubmitMessage,
} from "../wire/index.js";
import { initialAttemptSnapshot } from "./attempt_machine.js";
import {
  type AttemptState,
  type ConnectionState,
  endpointStatusOf,
  loadTokensOf,
  queueWaitMsOf,
  recordMetric,
  type SidecarContext,
} from "./sidecar_state.js";

/** Maximum and minimum of the delay after which a refused caller may retry. */
const MAX_RETRY_AFTER_MS = 5000;
const MIN_RETRY_AFTER_MS = 250;

/** Optional values of a refusal; see {@link refuseAttempt} for the defaults. */
export interface RefusalDetails {
  readonly outcome?: Outcome;
  readonly retryAfterMs?: number;
  /** Ids of endpoints that the router may try instead. */
  readonly alternatives?: readonly string[];
  /** Stored answer of a finished call with the same idempotency key. */
  readonly answer?: StoredAnswer | undefined;
}

/**
 * Queues a submitted attempt and sends an accepted frame, or sends a refusal.
 * Returns the attempt if it was queued. A repeated submit frame is dropped.
 */
export function admitAttempt(
  ctx: SidecarContext,
  connection: ConnectionState,
  submit: SubmitMessage,
): AttemptState | undefined {
  const { state } = ctx;
  const { attemptId } = submit;
  if (state.attempts.has(attemptId) || state.endedOutcomes.has(attemptId)) {
    recordMetric(ctx, "frames_dropped_total", { reason: "repeated_submit" });
    return undefined;
  }
  const refuse = (reason: RefusalReason, details: RefusalDetails = {}) => {
    refuseAttempt(ctx, connection.connectionId, attemptId, reason, details);
    return undefined;
  };
  if (submit.configVersion < state.configVersion) {
    return refuse("stale_config");
  }
  if (submit.configVersion > state.configVersion) {
    ctx.effects.push({
      type: "config_hint",
      configVersion: submit.configVersion,
      connectionId: connection.connectionId,
    });
  }
  if (state.endpointState !== "active") {
    return refuse(state.endpointState === "draining" ? "draining" : "down", {
      alternatives: leastLoadedIds(ctx),
    });
  }
  const attempt = createAttempt(ctx, connection, submit);
  const decision = state.loadBound.decide({
    loadTokens: loadTokensOf(state),
    workTokens: attempt.workTokens,
    ignoreBound: submit.ignoreBound ?? false,
  }, ctx.nowMs);
  recordMetric(ctx, "bound_checks_total", {
    decision: decision.admitted ? decision.rule : "refused",
  });
  if (!decision.admitted) {
    return refuse("over_bound", {
      alternatives: decision.alternatives.map((peer) => peer.endpointId),
    });
  }
  if (!state.options.firstComeFirstServed && missesDeadline(ctx, attempt)) {
    return refuse("deadline", { alternatives: leastLoadedIds(ctx) });
  }
  recordMetric(
    ctx,
    "load_over_mean",
    {},
    (loadTokensOf(state) + attempt.workTokens) /
      Math.max(1, decision.poolMeanTokens),
  );
  return enqueueAttempt(ctx, connection, attempt);
}

/**
 * Records the outcome of a refused attempt and sends the refusal if the router
 * is connected. Unless `details` has other values, the outcome is "not-run" and
 * the caller may retry after the estimated queue wait.
 */
export function refuseAttempt(
  ctx: SidecarContext,
  connectionId: string | undefined,
  attemptId: string,
  reason: RefusalReason,
  details: RefusalDetails = {},
): void {
  const outcome = details.outcome ?? "not-run";
  ctx.state.endedOutcomes.set(attemptId, outcome);
  recordMetric(ctx, "refusals_total", { reason });
  if (connectionId === undefined) {
    return;
  }
  const message: MessageOf<"refused"> = {
    type: "refused",
    attemptId,
    reason,
    outcome,
    retryAfterMs: details.retryAfterMs ?? estimateRetryAfterMs(ctx),
    alternatives: [...details.alternatives ?? []],
    facts: endpointStatusOf(ctx),
    answer: details.answer,
  };
  ctx.effects.push({ type: "send", connectionId, message });
}

/** Ids of the endpoints with the lowest load, as alternatives in a refusal. */
export function leastLoadedIds(ctx: SidecarContext): string[] {
  const MAX_ALTERNATIVES = 3;
  return ctx.state.loadTable.leastLoaded(MAX_ALTERNATIVES, ctx.nowMs)
    .map((peer) => peer.endpointId);
}

function enqueueAttempt(
  ctx: SidecarContext,
  connection: ConnectionState,
  attempt: AttemptState,
): AttemptState | undefined {
  const { state } = ctx;
  state.lastAdmittedAtMs = ctx.nowMs;
  state.attempts.set(attempt.attemptId, attempt);
  connection.attemptIds.add(attempt.attemptId);
  const droppedAttempt = state.queue.enqueue(attempt);
  if (droppedAttempt) {
    state.attempts.delete(droppedAttempt.attemptId);
    const droppedConnectionId = droppedAttempt.connectionId;
    state.connections.get(droppedConnectionId ?? "")?.attemptIds.delete(
      droppedAttempt.attemptId,
    );
    refuseAttempt(
      ctx,
      droppedConnectionId,
      droppedAttempt.attemptId,
      "queue_full",
      {
        alternatives: leastLoadedIds(ctx),
      },
    );
    if (droppedAttempt === attempt) {
      return undefined;
    }
  }
  ctx.effects.push({
    type: "send",
    connectionId: connection.connectionId,
    message: {
      type: "accepted",
      attemptId: attempt.attemptId,
      facts: endpointStatusOf(ctx),
    },
  });
  return attempt;
}

function createAttempt(
  ctx: SidecarContext,
  connection: ConnectionState,
  submit: SubmitMessage,
): AttemptState {
  const prefixHashes = unpackHashes(submit.prefixHashes);
  const cachedTokens = (ctx.state.cacheIndex.longestPrefix(prefixHashes) + 1) *
    BLOCK_TOKENS;
  const uncachedTokens = Math.max(0, submit.promptTokens - cachedTokens);
  return {
    attemptId: submit.attemptId,
    account: submit.account,
    weight: submit.weight,
    priority: submit.priority,
    workTokens: uncachedTokens + submit.outputTokens,
    ...submit.deadlineInMs !== undefined &&
      { deadlineMs: ctx.nowMs + submit.deadlineInMs },
    submit,
    routerId: connection.nodeId,
    receivedAtMs: ctx.nowMs,
    promptPrefixHashes: prefixHashes,
    uncachedTokens,
    snapshot: initialAttemptSnapshot,
    connectionId: connection.connectionId,
    disconnectedAtMs: undefined,
    startedAtMs: undefined,
    firstDataAtMs: undefined,
    prefillAheadTokens: 0,
    remainingPromptTokens: uncachedTokens,
    remainingOutputTokens: submit.outputTokens,
    generatedTokens: 0,
    nextSeq: 0,
    unackedFrames: [],
    unackedBytes: 0,
    paused: false,
    abandoned: false,
    endedAtMs: undefined,
    answerHead: undefined,
    answerBodyParts: [],
  };
}

/** Whether the attempt is estimated to finish after its deadline. */
function missesDeadline(ctx: SidecarContext, attempt: AttemptState): boolean {
  if (attempt.deadlineMs === undefined || attempt.submit.kind !== "chat") {
    return false;
  }
  const { serviceRates } = ctx.state;
  const timeToFinishMs = queueWaitMsOf(ctx.state) +
    serviceRates.serviceMs(attempt.uncachedTokens, attempt.submit.outputTokens);
  return ctx.nowMs + timeToFinishMs > attempt.deadlineMs;
}

function estimateRetryAfterMs(ctx: SidecarContext): number {
  return Math.round(
    Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(MIN_RETRY_AFTER_MS, queueWaitMsOf(ctx.state)),
    ),
  );
}
