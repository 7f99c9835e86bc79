import { unpackHashes } from "../placement/index.js";
import type { Message, MessageOf } from "../wire/index.js";
import { admitAttempt, refuseAttempt } from "./admit_attempt.js";
import { applyConfig, applyPeers } from "./apply_config.js";
import {
  applyHealthCheck,
  checkDrainTimeout,
  drain,
  exitIfDrained,
} from "./endpoint_state.js";
import { exchangeDigests, receiveDigest } from "./exchange_digests.js";
import { receiveOrder, reportOrderResult } from "./receive_order.js";
import {
  abandonAttempt,
  advanceAttemptMachine,
  receiveCallData,
  receiveCallEnded,
  receiveCallFailed,
  receiveCallHead,
  refuseQueuedAttempt,
  releaseAcknowledgedFrames,
  startQueuedAttempts,
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
  detachAttempt,
  removeConnection,
  withAttempt,
} from "./watch_attempts.js";

/**
 * Applies one event to the state of a sidecar and returns the effects to run.
 * Like `reduceRouter`, this updates the state in place.
 */
export function reduceSidecar(
  state: SidecarState,
  event: SidecarEvent,
): SidecarEffect[] {
  const ctx: SidecarContext = { state, nowMs: event.nowMs, effects: [] };
  dispatch(ctx, event);
  startQueuedAttempts(ctx);
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
      removeConnection(ctx, event.connectionId);
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
      applyHealthCheck(ctx, event.healthy);
      break;
    case "cache_events":
      state.cacheIndex.applyEvents(event.storedHashes, event.evictedHashes);
      break;
    case "config_applied":
      applyConfig(ctx, event.configVersion, event.pool);
      break;
    case "peers_changed":
      applyPeers(ctx, event.peers);
      break;
    case "drain_requested":
      drain(ctx, event.exitWhenDrained);
      break;
    case "order_answered":
      reportOrderResult(ctx, event);
      break;
    case "fencing_number_read":
      state.highestFencingNumber = Math.max(
        event.fencingNumber,
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
    advanceAttemptMachine(ctx, attempt, { type: "record_created" });
    return;
  }
  refuseQueuedAttempt(ctx, attempt, decision.reason, {
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
    // The submit frame may still arrive on an older connection. The attempt is
    // recorded as ended, so that the submit frame does not start it.
    if (!state.endedOutcomes.has(attemptId)) {
      state.endedOutcomes.set(attemptId, "not-run");
    }
    return;
  }
  if (attempt.routerId !== connection.nodeId) {
    return;
  }
  advanceAttemptMachine(ctx, attempt, {
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
    const outcome = state.endedOutcomes.get(attemptId) ??
      (attempt ? "unknown" : "not-run");
    // `refuseAttempt` also records the attempt as ended, so that a submit frame
    // that is still in transit does not start it.
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
  for (const frame of attempt.unackedFrames) {
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
    ctx.effects.push({
      type: "config_hint",
      configVersion: version,
      connectionId,
    });
  }
}

/**
 * Calls `run` with the attempt, unless the attempt belongs to another router.
 */
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
