/** Changes the endpoint state on health checks, drain and exit. */
import type { EndpointState } from "../wire/index.js";
import { leastLoadedIds } from "./admit_attempt.js";
import { receiveCallFailed, refuseQueuedAttempt } from "./run_attempt.js";
import { endpointStatusOf, type SidecarContext } from "./sidecar_state.js";

/**
 * Applies the result of a health check; ignored while the endpoint is draining.
 */
export function applyHealthCheck(ctx: SidecarContext, healthy: boolean): void {
  const { endpointState } = ctx.state;
  if (endpointState === "draining") {
    return;
  }
  setEndpointState(
    ctx,
    healthy ? "active" : endpointState === "starting" ? "starting" : "down",
  );
}

/**
 * Sets the endpoint state and reports it to all connected routers. The report
 * always has the message type "draining"; the endpoint status in the message
 * contains the actual state.
 */
function setEndpointState(
  ctx: SidecarContext,
  endpointState: EndpointState,
): void {
  const { state } = ctx;
  if (state.endpointState === endpointState) {
    return;
  }
  ctx.effects.push({
    type: "log",
    event: "endpoint_state_changed",
    fields: { from: state.endpointState, to: endpointState },
  });
  if (endpointState === "active") {
    state.loadBound.recordJoin(ctx.nowMs);
  }
  state.endpointState = endpointState;
  state.nextDigestMs = 0;
  for (const connection of state.connections.values()) {
    if (connection.role === "router") {
      ctx.effects.push({
        type: "send",
        connectionId: connection.connectionId,
        message: { type: "draining", facts: endpointStatusOf(ctx) },
      });
    }
  }
}

/**
 * Stops accepting attempts. Queued attempts are refused, so that their routers
 * submit them elsewhere; running ones finish. If `exitWhenDrained` is set, the
 * process exits once no attempt is left.
 */
export function drain(ctx: SidecarContext, exitWhenDrained: boolean): void {
  const { state } = ctx;
  state.exitWhenDrained ||= exitWhenDrained;
  state.drainStartedAtMs ??= ctx.nowMs;
  setEndpointState(ctx, "draining");
  for (const attempt of [...state.queue]) {
    refuseQueuedAttempt(ctx, attempt, "draining", {
      alternatives: leastLoadedIds(ctx),
    });
  }
}

/**
 * Aborts idempotent calls that are still running when the drain timeout has
 * passed; their routers retry them at other endpoints. Other calls continue,
 * since they must not be executed again elsewhere.
 */
export function checkDrainTimeout(ctx: SidecarContext): void {
  const { state, nowMs } = ctx;
  const { drainStartedAtMs, pool } = state;
  if (
    drainStartedAtMs === undefined ||
    nowMs - drainStartedAtMs <= pool.drain_timeout_ms
  ) {
    return;
  }
  for (const attemptId of [...state.runningAttemptIds]) {
    const attempt = state.attempts.get(attemptId);
    if (attempt?.submit.idempotent) {
      ctx.effects.push({ type: "abort_call", attemptId });
      receiveCallFailed(ctx, attempt, {
        type: "call_failed",
        nowMs,
        attemptId,
        mayHaveRun: true,
        reason: "drain time passed",
      });
    }
  }
}

/** Emits the exit effect once, if exit was requested and no attempt is left. */
export function exitIfDrained(ctx: SidecarContext): void {
  const { state } = ctx;
  if (
    state.exitWhenDrained && !state.exitEmitted && state.attempts.size === 0
  ) {
    state.exitEmitted = true;
    ctx.effects.push({ type: "exit" });
  }
}
