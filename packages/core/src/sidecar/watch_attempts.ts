/**
 * Enforces the time limits of attempts and connections, and handles lost
 * connections.
 */
import type { Millis } from "../clock.js";
import {
  abandonAttempt,
  advanceAttemptMachine,
  refuseQueuedAttempt,
  removeAttempt,
} from "./run_attempt.js";
import {
  type AttemptState,
  type ConnectionState,
  recordMetric,
  type SidecarContext,
} from "./sidecar_state.js";

/**
 * A connection with attempts is stalled when the router has sent no frame for
 * this time; routers send heartbeats while they await frames.
 */
const STALL_TIMEOUT_MS: Millis = 2000;

/** Time within which a router may resume an attempt after a disconnection. */
const RESUME_WINDOW_MS: Millis = 5000;

/** Time for which frames of an ended attempt are retained for a resume. */
const ENDED_RETENTION_MS: Millis = 10_000;

/**
 * If two ticks are further apart than this, the process is assumed to have been
 * paused between them.
 */
const PAUSE_THRESHOLD_MS: Millis = 1000;

/** Closes stalled connections and enforces the time limits of attempts. */
export function checkTimeLimits(ctx: SidecarContext): void {
  const { state, nowMs } = ctx;
  const sinceLastTickMs = nowMs - (state.lastTickMs ?? nowMs);
  state.lastTickMs = nowMs;
  if (sinceLastTickMs > PAUSE_THRESHOLD_MS) {
    handleProcessPause(ctx, sinceLastTickMs);
    return;
  }
  for (const connection of state.connections.values()) {
    const stalledMs = nowMs - connection.lastReceivedMs;
    if (connection.attemptIds.size > 0 && stalledMs > STALL_TIMEOUT_MS) {
      closeStalledConnection(ctx, connection, stalledMs);
    }
  }
  for (const attempt of [...state.attempts.values()]) {
    checkAttemptTimeouts(ctx, attempt);
  }
}

/**
 * Handles a pause of this process. Restarts the stall timeouts, since the
 * sockets may contain frames from routers that this process has not read yet.
 * Refuses queued attempts whose start window has passed.
 */
function handleProcessPause(
  ctx: SidecarContext,
  sinceLastTickMs: Millis,
): void {
  const { state, nowMs } = ctx;
  ctx.effects.push({
    type: "log",
    event: "pause_detected",
    fields: { late_ms: Math.round(sinceLastTickMs) },
  });
  for (const connection of state.connections.values()) {
    connection.lastReceivedMs = nowMs;
  }
  for (const attempt of [...state.queue]) {
    if (nowMs - attempt.receivedAtMs > attempt.submit.startWithinMs) {
      refuseQueuedAttempt(ctx, attempt, "start_window_passed");
    }
  }
}

function closeStalledConnection(
  ctx: SidecarContext,
  connection: ConnectionState,
  stalledMs: Millis,
): void {
  const { connectionId } = connection;
  recordMetric(ctx, "silent_connections_total");
  ctx.effects.push(
    { type: "close_connection", connectionId, reason: "stalled" },
    {
      type: "log",
      event: "connection_silent",
      fields: { peer: connection.nodeId, silent_ms: Math.round(stalledMs) },
    },
  );
  removeConnection(ctx, connectionId);
}

function checkAttemptTimeouts(
  ctx: SidecarContext,
  attempt: AttemptState,
): void {
  const { nowMs } = ctx;
  const { disconnectedAtMs, endedAtMs } = attempt;
  if (endedAtMs !== undefined) {
    if (nowMs - endedAtMs > ENDED_RETENTION_MS) {
      removeAttempt(ctx, attempt);
    }
    return;
  }
  if (
    !attempt.abandoned && disconnectedAtMs !== undefined &&
    nowMs - disconnectedAtMs > RESUME_WINDOW_MS
  ) {
    advanceAttemptMachine(ctx, attempt, {
      type: "cancelled",
      idempotent: attempt.submit.idempotent,
    });
    abandonAttempt(ctx, attempt);
  }
}

/** Removes a connection and marks its attempts as disconnected. */
export function removeConnection(
  ctx: SidecarContext,
  connectionId: string,
): void {
  const connection = ctx.state.connections.get(connectionId);
  if (!connection) {
    return;
  }
  for (const attemptId of [...connection.attemptIds]) {
    withAttempt(ctx, attemptId, (attempt) => detachAttempt(ctx, attempt));
  }
  ctx.state.connections.delete(connectionId);
}

/**
 * Removes an attempt from its connection. The router may still resume the
 * attempt over a new connection.
 */
export function detachAttempt(
  ctx: SidecarContext,
  attempt: AttemptState,
): void {
  ctx.state.connections.get(attempt.connectionId ?? "")?.attemptIds.delete(
    attempt.attemptId,
  );
  attempt.connectionId = undefined;
  attempt.disconnectedAtMs ??= ctx.nowMs;
}

/** Calls `run` with the attempt, if it exists. */
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
