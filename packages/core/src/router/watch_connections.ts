import type { Millis } from "../clock.js";
import { reduceMembership } from "../membership/index.js";
import type { Message } from "../wire/index.js";
import { failUnknown } from "./receive_answer.js";
import { detachAttempt } from "./finish_request.js";
import { finishProbing, sendTo } from "./place_request.js";
import type { RequestMachineEvent } from "./request_machine.js";
import {
  contactOf,
  type EndpointContact,
  explain,
  isAwaited,
  measure,
  type RequestState,
  type RouterContext,
} from "./router_state.js";

/** Interval of heartbeats while a frame is awaited. */
export const HEARTBEAT_MS: Millis = 500;

/**
 * A connection that leaves a ping unanswered for this long is silent. Other
 * frames prove nothing: they may still arrive while the direction to the
 * sidecar is dead.
 */
export const SILENCE_LIMIT_MS: Millis = 2000;

/** A tick that is this late shows that the process was paused. */
const PAUSE_LIMIT_MS: Millis = 1000;

/** Time in which a lost attempt must be found again at its sidecar. */
const RESUME_WINDOW_MS: Millis = 2500;

/** Feeds direct evidence or a list result to membership. */
export function noteMembership(
  ctx: RouterContext,
  event: Parameters<typeof reduceMembership>[1],
): void {
  for (const effect of reduceMembership(ctx.state.membership, event)) {
    ctx.effects.push({ type: "membership", effect });
  }
}

/** Sends heartbeats and finds connections that have gone silent. */
export function checkConnections(
  ctx: RouterContext,
  advance: (request: RequestState, event: RequestMachineEvent) => void,
): void {
  const { state, nowMs } = ctx;
  const wasPaused = nowMs - (state.lastTickMs ?? nowMs) > PAUSE_LIMIT_MS;
  state.lastTickMs = nowMs;
  for (const [endpointId, contact] of state.endpointConnections) {
    if (wasPaused) {
      // The answers to earlier pings still wait in the sockets.
      contact.unansweredPingMs = undefined;
    }
    if (!isAwaited(contact) || !contact.connected) {
      continue;
    }
    const silentMs = nowMs - (contact.unansweredPingMs ?? nowMs);
    if (state.options.detectStalledConnections && silentMs > SILENCE_LIMIT_MS) {
      closeSilent(ctx, endpointId, silentMs);
      closeIdle(ctx);
      loseConnection(ctx, endpointId, [], advance);
      continue;
    }
    if (nowMs - contact.lastPingMs >= HEARTBEAT_MS) {
      contact.lastPingMs = nowMs;
      contact.unansweredPingMs ??= nowMs;
      sendTo(ctx, endpointId, { type: "ping" });
    }
  }
}

/**
 * Deals with everything that waited on a connection that is gone. Attempts
 * whose submit frame was never written are placed again; the others are
 * looked for over a new connection.
 */
export function loseConnection(
  ctx: RouterContext,
  endpointId: string,
  unsent: readonly Message[],
  advance: (request: RequestState, event: RequestMachineEvent) => void,
): void {
  const contact = contactOf(ctx.state, endpointId);
  contact.connected = false;
  loseProbes(ctx, contact, advance);
  const neverSent = new Set(
    unsent.filter((message) => message.type === "submit")
      .map((message) => message.attemptId),
  );
  for (const attemptId of [...contact.attemptIds]) {
    const request = ctx.state.requestsByAttempt.get(attemptId);
    if (!request) {
      contact.attemptIds.delete(attemptId);
    } else if (neverSent.has(attemptId)) {
      detachAttempt(ctx, request);
      explain(ctx, request, "not sent", { endpointId });
      advance(request, { type: "refused_not_run", mayTryNext: true });
    } else {
      loseAttempt(ctx, request, advance);
    }
  }
}

/** Asks the sidecar for the rest of an attempt over a new connection. */
export function resumeAttempt(ctx: RouterContext, request: RequestState) {
  const attempt = request.attempt;
  if (!attempt) {
    return;
  }
  attempt.resumes++;
  attempt.resumeDeadlineMs ??= ctx.nowMs + RESUME_WINDOW_MS;
  measure(ctx, "resumes_total");
  explain(ctx, request, "resumed", { endpointId: attempt.endpointId });
  sendTo(ctx, attempt.endpointId, {
    type: "resume",
    attemptId: attempt.attemptId,
    fromSeq: attempt.expectedSeq,
  });
  if (attempt.ackedSeq > 0) {
    // The ack may have been lost with the connection, and a sidecar whose
    // buffer is full sends nothing that would cause another one.
    sendTo(ctx, attempt.endpointId, {
      type: "ack",
      attemptId: attempt.attemptId,
      nextSeq: attempt.ackedSeq,
    });
  }
}

/** Applies the time limits of probes, resumptions and whole requests. */
export function checkRequests(
  ctx: RouterContext,
  advance: (request: RequestState, event: RequestMachineEvent) => void,
): void {
  for (const request of [...ctx.state.requests.values()]) {
    if (ctx.nowMs >= request.deadlineAtMs) {
      advance(request, { type: "deadline_passed" });
    } else if (
      request.probing && ctx.nowMs >= request.probing.deadlineMs
    ) {
      const placement = finishProbing(ctx, request, true);
      advance(request, {
        type: placement === "placed" ? "placed" : "no_endpoint",
      });
    } else if (isResumeOverdue(ctx, request)) {
      advance(request, failUnknown(ctx, request, "lost_attempt"));
    }
  }
}

function isResumeOverdue(ctx: RouterContext, request: RequestState): boolean {
  const deadlineMs = request.attempt?.resumeDeadlineMs;
  return deadlineMs !== undefined && ctx.nowMs >= deadlineMs;
}

function closeSilent(
  ctx: RouterContext,
  endpointId: string,
  silentMs: Millis,
): void {
  measure(ctx, "silent_connections_total");
  ctx.effects.push(
    { type: "close_connection", endpointId, reason: "silent" },
    {
      type: "log",
      event: "connection_silent",
      fields: { endpoint: endpointId, silent_ms: Math.round(silentMs) },
    },
  );
}

/**
 * What made one connection silent has often made others silent as well. Those
 * that nothing waits on are opened anew when they are used next, which is
 * cheaper than to find out about each of them after 2 s.
 */
function closeIdle(ctx: RouterContext): void {
  for (const [endpointId, contact] of ctx.state.endpointConnections) {
    if (contact.connected && !isAwaited(contact)) {
      contact.connected = false;
      ctx.effects.push({
        type: "close_connection",
        endpointId,
        reason: "idle beside a silent connection",
      });
    }
  }
}

function loseProbes(
  ctx: RouterContext,
  contact: EndpointContact,
  advance: (request: RequestState, event: RequestMachineEvent) => void,
): void {
  for (const probeId of [...contact.probeIds]) {
    contact.probeIds.delete(probeId);
    const request = ctx.state.requestsByProbe.get(probeId);
    ctx.state.requestsByProbe.delete(probeId);
    if (!request?.probing) {
      continue;
    }
    request.probing.pending.delete(probeId);
    const placement = finishProbing(ctx, request, false);
    if (placement !== "probing") {
      advance(request, { type: placement });
    }
  }
}

function loseAttempt(
  ctx: RouterContext,
  request: RequestState,
  advance: (request: RequestState, event: RequestMachineEvent) => void,
): void {
  const attempt = request.attempt;
  if (!attempt) {
    return;
  }
  if (isResumeOverdue(ctx, request)) {
    advance(request, failUnknown(ctx, request, "lost_attempt"));
    return;
  }
  advance(request, { type: "connection_lost" });
}
