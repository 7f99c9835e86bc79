import { unpackHashes } from "../placement/index.js";
import type { Message, MessageOf } from "../wire/index.js";
import { admitAttempt, refuseAttempt } from "./admit_attempt.js";
import { applyConfig, applyPeers } from "./apply_config.js";
import {
  checkDrainTime,
  drain,
  exitIfEmpty,
  noteHealth,
} from "./endpoint_mode.js";
import { exchangeDigests, receiveDigest } from "./exchange_digests.js";
import { answerOrder, receiveOrder } from "./receive_order.js";
import {
  abandon,
  acknowledgeFrames,
  advance,
  receiveCallData,
  receiveCallEnded,
  receiveCallFailed,
  receiveCallHead,
  refuseQueued,
  startQueued,
} from "./run_attempt.js";
import type {
  ExecutionDecision,
  SidecarEffect,
  SidecarEvent,
} from "./sidecar_event.js";
import {
  type AttemptState,
  type ConnectionState,
  factsOf,
  type SidecarContext,
  type SidecarState,
} from "./sidecar_state.js";
import {
  checkTimes,
  closeConnection,
  detach,
  withAttempt,
} from "./watch_attempts.js";

/**
 * Advances a sidecar by one event and returns the effects to run. The state
 * is updated in place, as in `reduceRouter`.
 */
export function reduceSidecar(
  state: SidecarState,
  event: SidecarEvent,
): SidecarEffect[] {
  const ctx: SidecarContext = { state, nowMs: event.nowMs, effects: [] };
  dispatch(ctx, event);
  startQueued(ctx);
  exitIfEmpty(ctx);
  return ctx.effects;
}

function dispatch(ctx: SidecarContext, event: SidecarEvent): void {
  const { state, nowMs } = ctx;
  switch (event.type) {
    case "connected":
      state.connections.set(event.connectionId, {
        connectionId: event.connectionId,
        role: event.hello.role,
        nodeId: event.hello.nodeId,
        attemptIds: new Set(),
        lastReceivedMs: nowMs,
      });
      hintConfig(ctx, event.connectionId, event.hello.configVersion);
      break;
    case "connection_closed":
      closeConnection(ctx, event.connectionId);
      break;
    case "message": {
      const connection = state.connections.get(event.connectionId);
      if (connection) {
        connection.lastReceivedMs = nowMs;
        receiveMessage(ctx, connection, event.message);
      }
      break;
    }
    case "execution_decided":
      withAttempt(
        ctx,
        event.attemptId,
        (attempt) => decideExecution(ctx, attempt, event.decision),
      );
      break;
    case "call_head":
      withAttempt(
        ctx,
        event.attemptId,
        (attempt) => receiveCallHead(ctx, attempt, event),
      );
      break;
    case "call_data":
      withAttempt(
        ctx,
        event.attemptId,
        (attempt) => receiveCallData(ctx, attempt, event),
      );
      break;
    case "call_ended":
      withAttempt(
        ctx,
        event.attemptId,
        (attempt) => receiveCallEnded(ctx, attempt, event),
      );
      break;
    case "call_failed":
      withAttempt(
        ctx,
        event.attemptId,
        (attempt) => receiveCallFailed(ctx, attempt, event),
      );
      break;
    case "endpoint_health":
      noteHealth(ctx, event.healthy);
      break;
    case "cache_events":
      state.cache.applyEvents(event.stored, event.evicted);
      break;
    case "config_applied":
      applyConfig(ctx, event.version, event.pool);
      break;
    case "peers_changed":
      applyPeers(ctx, event.peers);
      break;
    case "drain_requested":
      drain(ctx, event.exit);
      break;
    case "order_answered":
      answerOrder(ctx, event);
      break;
    case "fencing_number_read":
      state.highestFencingNumber = Math.max(
        event.number,
        state.highestFencingNumber ?? 0,
      );
      break;
    case "tick":
      checkTimes(ctx);
      checkDrainTime(ctx);
      exchangeDigests(ctx);
      break;
  }
}

function receiveMessage(
  ctx: SidecarContext,
  connection: ConnectionState,
  message: Message,
): void {
  const { connectionId } = connection;
  switch (message.type) {
    case "probe":
      answerProbe(ctx, connectionId, message);
      break;
    case "submit":
      admitAttempt(ctx, connection, message);
      break;
    case "cancel":
      cancelAttempt(ctx, connection, message.attemptId);
      break;
    case "resume":
      resumeAttempt(ctx, connection, message);
      break;
    case "ack":
      withOwnAttempt(
        ctx,
        connection,
        message.attemptId,
        (attempt) => acknowledgeFrames(ctx, attempt, message.nextSeq),
      );
      break;
    case "ping":
      ctx.effects.push({
        type: "send",
        connectionId,
        message: { type: "pong" },
      });
      break;
    case "digest":
      receiveDigest(ctx, connectionId, message);
      break;
    case "order":
      receiveOrder(ctx, connectionId, message);
      break;
    default:
      break;
  }
}

function answerProbe(
  ctx: SidecarContext,
  connectionId: string,
  probe: MessageOf<"probe">,
): void {
  hintConfig(ctx, connectionId, probe.configVersion);
  ctx.effects.push({
    type: "send",
    connectionId,
    message: {
      type: "probe_reply",
      probeId: probe.probeId,
      facts: factsOf(ctx),
      cachedIndex: ctx.state.cache.longestPrefix(
        unpackHashes(probe.prefixHashes),
      ),
    },
  });
}

function decideExecution(
  ctx: SidecarContext,
  attempt: AttemptState,
  decision: ExecutionDecision,
): void {
  if (decision.type === "start") {
    advance(ctx, attempt, { type: "record_created" });
    return;
  }
  refuseQueued(ctx, attempt, decision.reason, {
    outcome: decision.outcome,
    retryAfterMs: decision.retryAfterMs,
    answer: decision.answer,
  });
}

function cancelAttempt(
  ctx: SidecarContext,
  connection: ConnectionState,
  attemptId: string,
): void {
  const { state } = ctx;
  const attempt = state.attempts.get(attemptId);
  if (!attempt) {
    // The submit frame may still arrive on an older connection; it must not
    // run any more.
    if (!state.ended.has(attemptId)) {
      state.ended.set(attemptId, "not-run");
    }
    return;
  }
  if (attempt.routerId !== connection.nodeId) {
    return;
  }
  advance(ctx, attempt, {
    type: "cancelled",
    idempotent: attempt.submit.idempotent,
  });
  detach(ctx, attempt);
  abandon(ctx, attempt);
}

function resumeAttempt(
  ctx: SidecarContext,
  connection: ConnectionState,
  { attemptId, fromSeq }: MessageOf<"resume">,
): void {
  const { state } = ctx;
  const { connectionId } = connection;
  const attempt = state.attempts.get(attemptId);
  if (
    !attempt || attempt.abandoned || attempt.routerId !== connection.nodeId
  ) {
    // Noting the id keeps a submit frame that is still under way from running.
    const outcome = state.ended.get(attemptId) ??
      (attempt ? "unknown" : "not-run");
    refuseAttempt(ctx, connectionId, attemptId, "unknown_attempt", {
      outcome,
    });
    return;
  }
  detach(ctx, attempt);
  attempt.connectionId = connectionId;
  attempt.detachedAtMs = undefined;
  connection.attemptIds.add(attemptId);
  ctx.effects.push({
    type: "send",
    connectionId,
    message: { type: "accepted", attemptId, facts: factsOf(ctx) },
  });
  for (const frame of attempt.frames) {
    if (frame.seq >= fromSeq) {
      ctx.effects.push({ type: "send", connectionId, message: frame });
    }
  }
}

function hintConfig(
  ctx: SidecarContext,
  connectionId: string,
  version: number,
): void {
  if (version > ctx.state.configVersion) {
    ctx.effects.push({ type: "config_hint", version, connectionId });
  }
}

/** Ignores frames about an attempt that another router submitted. */
function withOwnAttempt(
  ctx: SidecarContext,
  connection: ConnectionState,
  attemptId: string,
  run: (attempt: AttemptState) => void,
): void {
  withAttempt(ctx, attemptId, (attempt) => {
    if (attempt.routerId === connection.nodeId) {
      run(attempt);
    }
  });
}
