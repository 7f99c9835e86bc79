import { unpackHashes } from "../placement/index.js";
import type { Message, MessageOf } from "../wire/index.js";
import { admitAttempt, refuseAttempt } from "./admit_attempt.js";
import { applyConfig, applyPeers } from "./apply_config.js";
import {
  applyHealth,
  checkDrainTimeout,
  drain,
  exitIfDrained,
} from "./endpoint_mode.js";
import { exchangeDigests, receiveDigest } from "./exchange_digests.js";
import { receiveOrder, reportOrderResult } from "./receive_order.js";
import {
  abandonAttempt,
  advance,
  receiveCallData,
  receiveCallEnded,
  receiveCallFailed,
  receiveCallHead,
  refuseQueued,
  releaseAcknowledgedFrames,
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
  endpointStatusOf,
  type SidecarContext,
  type SidecarState,
} from "./sidecar_state.js";
import {
  checkTimeLimits,
  closeConnection,
  detachAttempt,
  withAttempt,
} from "./watch_attempts.js";

/**
 * Advances a sidecar by one event and returns the effects to run. Like
 * `reduceRouter`, it updates the state in place.
 */
export function reduceSidecar(
  state: SidecarState,
  event: SidecarEvent,
): SidecarEffect[] {
  const ctx: SidecarContext = { state, nowMs: event.nowMs, effects: [] };
  dispatch(ctx, event);
  startQueued(ctx);
  exitIfDrained(ctx);
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
      reportNewerConfig(ctx, event.connectionId, event.hello.configVersion);
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
        (attempt) => applyExecutionDecision(ctx, attempt, event.decision),
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
      applyHealth(ctx, event.healthy);
      break;
    case "cache_events":
      state.cacheIndex.applyEvents(event.stored, event.evicted);
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
      reportOrderResult(ctx, event);
      break;
    case "fencing_number_read":
      state.highestFencingNumber = Math.max(
        event.number,
        state.highestFencingNumber ?? 0,
      );
      break;
    case "tick":
      checkTimeLimits(ctx);
      checkDrainTimeout(ctx);
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
      withAttemptOfRouter(
        ctx,
        connection,
        message.attemptId,
        (attempt) => releaseAcknowledgedFrames(ctx, attempt, message.nextSeq),
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
  reportNewerConfig(ctx, connectionId, probe.configVersion);
  ctx.effects.push({
    type: "send",
    connectionId,
    message: {
      type: "probe_reply",
      probeId: probe.probeId,
      facts: endpointStatusOf(ctx),
      cachedIndex: ctx.state.cacheIndex.longestPrefix(
        unpackHashes(probe.prefixHashes),
      ),
    },
  });
}

function applyExecutionDecision(
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
    // The submit frame may still arrive on an older connection. Recording the
    // attempt as ended prevents it from running.
    if (!state.endedOutcomes.has(attemptId)) {
      state.endedOutcomes.set(attemptId, "not-run");
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
  detachAttempt(ctx, attempt);
  abandonAttempt(ctx, attempt);
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
    // `refuseAttempt` records the attempt as ended, so that a submit frame
    // that is still in transit does not start it.
    const outcome = state.endedOutcomes.get(attemptId) ??
      (attempt ? "unknown" : "not-run");
    refuseAttempt(ctx, connectionId, attemptId, "unknown_attempt", {
      outcome,
    });
    return;
  }
  detachAttempt(ctx, attempt);
  attempt.connectionId = connectionId;
  attempt.disconnectedAtMs = undefined;
  connection.attemptIds.add(attemptId);
  ctx.effects.push({
    type: "send",
    connectionId,
    message: { type: "accepted", attemptId, facts: endpointStatusOf(ctx) },
  });
  for (const frame of attempt.frames) {
    if (frame.seq >= fromSeq) {
      ctx.effects.push({ type: "send", connectionId, message: frame });
    }
  }
}

function reportNewerConfig(
  ctx: SidecarContext,
  connectionId: string,
  version: number,
): void {
  if (version > ctx.state.configVersion) {
    ctx.effects.push({ type: "config_hint", version, connectionId });
  }
}

/** Calls `run` with the attempt, unless another router submitted it. */
function withAttemptOfRouter(
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
