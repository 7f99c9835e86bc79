/**
 * Sends heartbeats, handles lost connections and enforces the time limits of
 * requests.
 */
import type { Millis } from "../clock.js";
import { reduceMembership } from "../membership/index.js";
import type { Message } from "../wire/index.js";
import { failAttemptWithUnknownOutcome } from "./receive_answer.js";
import { detachAttempt } from "./finish_request.js";
import { finishProbing, sendTo } from "./place_request.js";
import type { RequestMachineEvent } from "./request_machine.js";
import {
  awaitsFrames,
  recordExplainStep,
  recordMetric,
  type RequestState,
  type RouterContext,
  sidecarConnectionOf,
  type SidecarConnectionState,
} from "./router_state.js";

/** Interval of pings on a connection while a frame is awaited. */
export const HEARTBEAT_INTERVAL_MS: Millis = 500;

/**
 * A connection is stalled when a ping is unanswered for this time. Other frames
 * do not count as an answer: they may still arrive while frames to the sidecar
 * are lost.
 */
export const STALL_TIMEOUT_MS: Millis = 2000;

/**
 * If two ticks are further apart than this, the process is assumed to have been
 * paused between them.
 */
const PAUSE_THRESHOLD_MS: Millis = 1000;

/** Time within which the sidecar must answer a resume frame. */
const RESUME_ANSWER_TIMEOUT_MS: Millis = 2500;

/**
 * Applies an event to the membership state and forwards the resulting effects.
 */
export function applyMembershipEvent(
  ctx: RouterContext,
  event: Parameters<typeof reduceMembership>[1],
): void {
  for (const effect of reduceMembership(ctx.state.membership, event)) {
    ctx.effects.push({ type: "membership", effect });
  }
}

/** Sends heartbeats and closes stalled connections. */
export function checkConnections(
  ctx: RouterContext,
  advanceRequestMachine: (
    request: RequestState,
    event: RequestMachineEvent,
  ) => void,
): void {
  const { state, nowMs } = ctx;
  const wasPaused = nowMs - (state.lastTickMs ?? nowMs) > PAUSE_THRESHOLD_MS;
  state.lastTickMs = nowMs;
  for (const [endpointId, connection] of state.sidecarConnections) {
    if (wasPaused) {
      // The pongs of earlier pings may be unread in the sockets, so their
      // absence does not show that the connection is stalled.
      connection.unansweredPingMs = undefined;
    }
    if (!awaitsFrames(connection) || !connection.connected) {
      continue;
    }
    const stalledMs = nowMs - (connection.unansweredPingMs ?? nowMs);
    if (
      state.options.detectStalledConnections && stalledMs > STALL_TIMEOUT_MS
    ) {
      closeStalledConnection(ctx, endpointId, stalledMs);
      closeIdleConnections(ctx);
      handleConnectionLost(ctx, endpointId, [], advanceRequestMachine);
      continue;
    }
    if (nowMs - connection.lastPingMs >= HEARTBEAT_INTERVAL_MS) {
      connection.lastPingMs = nowMs;
      connection.unansweredPingMs ??= nowMs;
      sendTo(ctx, endpointId, { type: "ping" });
    }
  }
}

/**
 * Handles the loss of the connection to an endpoint's sidecar. Probes that wait
 * for this endpoint are given up. Attempts whose submit frame is among the
 * `unsent` messages are placed again; the others are resumed over a new
 * connection.
 */
export function handleConnectionLost(
  ctx: RouterContext,
  endpointId: string,
  unsent: readonly Message[],
  advanceRequestMachine: (
    request: RequestState,
    event: RequestMachineEvent,
  ) => void,
): void {
  const connection = sidecarConnectionOf(ctx.state, endpointId);
  connection.connected = false;
  handleLostProbes(ctx, connection, advanceRequestMachine);
  const unsentAttemptIds = new Set(
    unsent.filter((message) => message.type === "submit")
      .map((message) => message.attemptId),
  );
  for (const attemptId of [...connection.attemptIds]) {
    const request = ctx.state.requestsByAttempt.get(attemptId);
    if (!request) {
      connection.attemptIds.delete(attemptId);
    } else if (unsentAttemptIds.has(attemptId)) {
      detachAttempt(ctx, request);
      recordExplainStep(ctx, request, "not sent", { endpointId });
      advanceRequestMachine(request, {
        type: "refused_not_run",
        mayTryNext: true,
      });
    } else {
      handleLostAttempt(ctx, request, advanceRequestMachine);
    }
  }
}

/** Requests the remaining frames of the current attempt from the sidecar. */
export function resumeAttempt(ctx: RouterContext, request: RequestState) {
  const attempt = request.attempt;
  if (!attempt) {
    return;
  }
  attempt.resumeCount++;
  attempt.resumeDeadlineAtMs ??= ctx.nowMs + RESUME_ANSWER_TIMEOUT_MS;
  recordMetric(ctx, "resumes_total");
  recordExplainStep(ctx, request, "resumed", {
    endpointId: attempt.endpointId,
  });
  sendTo(ctx, attempt.endpointId, {
    type: "resume",
    attemptId: attempt.attemptId,
    fromSeq: attempt.expectedSeq,
  });
  if (attempt.ackedSeq > 0) {
    // The last ack may have been lost with the connection. A sidecar whose
    // buffer is full sends no frame, so no later ack would be triggered.
    sendTo(ctx, attempt.endpointId, {
      type: "ack",
      attemptId: attempt.attemptId,
      nextSeq: attempt.ackedSeq,
    });
  }
}

/** Enforces the time limits of requests, probes and resume frames. */
export function checkRequests(
  ctx: RouterContext,
  advanceRequestMachine: (
    request: RequestState,
    event: RequestMachineEvent,
  ) => void,
): void {
  for (const request of [...ctx.state.requests.values()]) {
    if (ctx.nowMs >= request.deadlineAtMs) {
      advanceRequestMachine(request, { type: "deadline_passed" });
    } else if (
      request.probeRound && ctx.nowMs >= request.probeRound.deadlineAtMs
    ) {
      const placementResult = finishProbing(ctx, request, true);
      advanceRequestMachine(request, {
        type: placementResult === "placed" ? "placed" : "no_endpoint",
      });
    } else if (isResumeOverdue(ctx, request)) {
      advanceRequestMachine(
        request,
        failAttemptWithUnknownOutcome(ctx, request, "lost_attempt"),
      );
    }
  }
}

function isResumeOverdue(ctx: RouterContext, request: RequestState): boolean {
  const deadlineAtMs = request.attempt?.resumeDeadlineAtMs;
  return deadlineAtMs !== undefined && ctx.nowMs >= deadlineAtMs;
}

function closeStalledConnection(
  ctx: RouterContext,
  endpointId: string,
  stalledMs: Millis,
): void {
  recordMetric(ctx, "silent_connections_total");
  ctx.effects.push(
    { type: "close_connection", endpointId, reason: "stalled" },
    {
      type: "log",
      event: "connection_silent",
      fields: { endpoint: endpointId, silent_ms: Math.round(stalledMs) },
    },
  );
}

/**
 * Closes all connections on which no frame is awaited. The fault that stalled
 * one connection has often stalled others, too. Opening them again at the next
 * use costs less than detecting each stall after 2 s.
 */
function closeIdleConnections(ctx: RouterContext): void {
  for (const [endpointId, connection] of ctx.state.sidecarConnections) {
    if (connection.connected && !awaitsFrames(connection)) {
      connection.connected = false;
      ctx.effects.push({
        type: "close_connection",
        endpointId,
        reason: "idle while another connection is stalled",
      });
    }
  }
}

function handleLostProbes(
  ctx: RouterContext,
  connection: SidecarConnectionState,
  advanceRequestMachine: (
    request: RequestState,
    event: RequestMachineEvent,
  ) => void,
): void {
  for (const probeId of [...connection.probeIds]) {
    connection.probeIds.delete(probeId);
    const request = ctx.state.requestsByProbe.get(probeId);
    ctx.state.requestsByProbe.delete(probeId);
    if (!request?.probeRound) {
      continue;
    }
    request.probeRound.pendingProbes.delete(probeId);
    const placementResult = finishProbing(ctx, request, false);
    if (placementResult !== "probing") {
      advanceRequestMachine(request, { type: placementResult });
    }
  }
}

function handleLostAttempt(
  ctx: RouterContext,
  request: RequestState,
  advanceRequestMachine: (
    request: RequestState,
    event: RequestMachineEvent,
  ) => void,
): void {
  const attempt = request.attempt;
  if (!attempt) {
    return;
  }
  if (isResumeOverdue(ctx, request)) {
    advanceRequestMachine(
      request,
      failAttemptWithUnknownOutcome(ctx, request, "lost_attempt"),
    );
    return;
  }
  advanceRequestMachine(request, { type: "connection_lost" });
}
