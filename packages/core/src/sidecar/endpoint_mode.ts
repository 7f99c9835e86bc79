import type { EndpointState } from "../wire/index.js";
import { leastLoadedIds } from "./admit_attempt.js";
import { receiveCallFailed, refuseQueued } from "./run_attempt.js";
import { factsOf, type SidecarContext } from "./sidecar_state.js";

export function noteHealth(ctx: SidecarContext, healthy: boolean): void {
  const { mode } = ctx.state;
  if (mode === "draining") {
    return;
  }
  setMode(ctx, healthy ? "active" : mode === "starting" ? "starting" : "down");
}

function setMode(ctx: SidecarContext, mode: EndpointState): void {
  const { state } = ctx;
  if (state.mode === mode) {
    return;
  }
  ctx.effects.push({
    type: "log",
    event: "endpoint_state_changed",
    fields: { from: state.mode, to: mode },
  });
  if (mode === "active") {
    state.bound.recordJoin(ctx.nowMs);
  }
  state.mode = mode;
  state.nextDigestMs = 0;
  for (const connection of state.connections.values()) {
    if (connection.role === "router") {
      ctx.effects.push({
        type: "send",
        connectionId: connection.connectionId,
        message: { type: "draining", facts: factsOf(ctx) },
      });
    }
  }
}

/** Stops taking work; queued attempts go elsewhere, running ones finish. */
export function drain(ctx: SidecarContext, exit: boolean): void {
  const { state } = ctx;
  state.exitWhenEmpty ||= exit;
  state.drainStartedAtMs ??= ctx.nowMs;
  setMode(ctx, "draining");
  for (const attempt of [...state.queue]) {
    refuseQueued(ctx, attempt, "draining", {
      alternatives: leastLoadedIds(ctx),
    });
  }
}

/**
 * Hands calls that outlast the drain time to other endpoints. Calls that must
 * not be repeated run on, since nobody else could finish them.
 */
export function checkDrainTime(ctx: SidecarContext): void {
  const { state, nowMs } = ctx;
  const { drainStartedAtMs, pool } = state;
  if (
    drainStartedAtMs === undefined ||
    nowMs - drainStartedAtMs <= pool.drain_timeout_ms
  ) {
    return;
  }
  for (const attemptId of [...state.running]) {
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

export function exitIfEmpty(ctx: SidecarContext): void {
  const { state } = ctx;
  if (state.exitWhenEmpty && !state.exited && state.attempts.size === 0) {
    state.exited = true;
    ctx.effects.push({ type: "exit" });
  }
}
