import type { Millis } from "../clock.js";
import { abandon, advance, forget, refuseQueued } from "./run_attempt.js";
import {
  type AttemptState,
  type ConnectionState,
  measure,
  type SidecarContext,
} from "./sidecar_state.js";

/** A router that sent no frame for this long while it waits is gone. */
const SILENCE_LIMIT_MS: Millis = 2000;

/** Time in which a router may come back for an attempt. */
const DETACHED_LIMIT_MS: Millis = 5000;

/** Frames of an ended attempt are kept this long for a late resume. */
const ENDED_RETENTION_MS: Millis = 10_000;

/** A tick that is this late shows that the process was paused. */
const PAUSE_LIMIT_MS: Millis = 1000;

export function checkTimes(ctx: SidecarContext): void {
  const { state, nowMs } = ctx;
  const lateMs = nowMs - (state.lastTickMs ?? nowMs);
  state.lastTickMs = nowMs;
  if (lateMs > PAUSE_LIMIT_MS) {
    handlePause(ctx, lateMs);
    return;
  }
  for (const connection of state.connections.values()) {
    const silentMs = nowMs - connection.lastReceivedMs;
    if (connection.attemptIds.size > 0 && silentMs > SILENCE_LIMIT_MS) {
      closeSilent(ctx, connection, silentMs);
    }
  }
  for (const attempt of [...state.attempts.values()]) {
    checkAttempt(ctx, attempt);
  }
}

/**
 * After a pause the silence of routers means nothing, since their frames wait
 * in the sockets. Queued work that has become too old is refused.
 */
function handlePause(ctx: SidecarContext, lateMs: Millis): void {
  const { state, nowMs } = ctx;
  ctx.effects.push({
    type: "log",
    event: "pause_detected",
    fields: { late_ms: Math.round(lateMs) },
  });
  for (const connection of state.connections.values()) {
    connection.lastReceivedMs = nowMs;
  }
  for (const attempt of [...state.queue]) {
    if (nowMs - attempt.receivedAtMs > attempt.submit.startWithinMs) {
      refuseQueued(ctx, attempt, "start_window_passed");
    }
  }
}

function closeSilent(
  ctx: SidecarContext,
  connection: ConnectionState,
  silentMs: Millis,
): void {
  const { connectionId } = connection;
  measure(ctx, "silent_connections_total");
  ctx.effects.push(
    { type: "close_connection", connectionId, reason: "silent" },
    {
      type: "log",
      event: "connection_silent",
      fields: { peer: connection.nodeId, silent_ms: Math.round(silentMs) },
    },
  );
  closeConnection(ctx, connectionId);
}

function checkAttempt(ctx: SidecarContext, attempt: AttemptState): void {
  const { nowMs } = ctx;
  const { detachedAtMs, endedAtMs } = attempt;
  if (endedAtMs !== undefined) {
    if (nowMs - endedAtMs > ENDED_RETENTION_MS) {
      forget(ctx, attempt);
    }
    return;
  }
  if (
    !attempt.abandoned && detachedAtMs !== undefined &&
    nowMs - detachedAtMs > DETACHED_LIMIT_MS
  ) {
    advance(ctx, attempt, {
      type: "cancelled",
      idempotent: attempt.submit.idempotent,
    });
    abandon(ctx, attempt);
  }
}

export function closeConnection(
  ctx: SidecarContext,
  connectionId: string,
): void {
  const connection = ctx.state.connections.get(connectionId);
  if (!connection) {
    return;
  }
  for (const attemptId of [...connection.attemptIds]) {
    withAttempt(ctx, attemptId, (attempt) => detach(ctx, attempt));
  }
  ctx.state.connections.delete(connectionId);
}

export function detach(ctx: SidecarContext, attempt: AttemptState): void {
  ctx.state.connections.get(attempt.connectionId ?? "")?.attemptIds.delete(
    attempt.attemptId,
  );
  attempt.connectionId = undefined;
  attempt.detachedAtMs ??= ctx.nowMs;
}

export function withAttempt(
  ctx: SidecarContext,
  attemptId: string,
  run: (attempt: AttemptState) => void,
): void {
  const attempt = ctx.state.attempts.get(attemptId);
  if (attempt) {
    run(attempt);
  }
}
