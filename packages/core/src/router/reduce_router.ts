import type { Bundle } from "../config/index.js";
import type { Message } from "../wire/index.js";
import { admitRequest, countRejected } from "./admit_request.js";
import {
  cancelAttempt,
  dropCaller,
  finishAnswer,
  giveUp,
} from "./finish_request.js";
import {
  finishProbing,
  receiveProbeReply,
  sendTo,
  startPlacement,
} from "./place_request.js";
import {
  acknowledge,
  isExpected,
  noteFacts,
  receiveChunk,
  receiveEnd,
  receiveFailed,
  receiveHead,
  receiveRefused,
} from "./receive_answer.js";
import {
  advanceRequest,
  type RequestActionType,
  type RequestMachineEvent,
} from "./request_machine.js";
import type { RouterEffect, RouterEvent } from "./router_event.js";
import {
  contactOf,
  type RequestState,
  type RouterConfig,
  type RouterContext,
  type RouterState,
} from "./router_state.js";
import {
  checkConnections,
  checkRequests,
  loseConnection,
  noteMembership,
  resumeAttempt,
} from "./watch_connections.js";

/**
 * Advances a router by one event and returns the effects to run.
 *
 * The state is updated in place: it holds tables of up to 10^5 entries, which
 * cannot be copied for each event.
 */
export function reduceRouter(
  state: RouterState,
  event: RouterEvent,
): RouterEffect[] {
  const ctx: RouterContext = { state, nowMs: event.nowMs, effects: [] };
  dispatch(ctx, event);
  if (state.draining && state.requests.size === 0) {
    ctx.effects.push({ type: "drained" });
  }
  return ctx.effects;
}

function dispatch(ctx: RouterContext, event: RouterEvent): void {
  const { state, nowMs } = ctx;
  const advanceInContext = (
    request: RequestState,
    machineEvent: RequestMachineEvent,
  ) => advance(ctx, request, machineEvent);
  switch (event.type) {
    case "request_received":
      receiveRequest(ctx, event.request);
      break;
    case "caller_gone":
      withRequest(
        ctx,
        event.requestId,
        (request) => advance(ctx, request, { type: "caller_gone" }),
      );
      break;
    case "caller_congested":
      withRequest(ctx, event.requestId, (request) => {
        request.congested = event.congested;
        acknowledge(ctx, request, 1);
      });
      break;
    case "connected":
      receiveConnected(ctx, event);
      break;
    case "connection_closed":
      if (!event.wasReady) {
        noteMembership(ctx, {
          type: "connect_failed",
          nowMs,
          instanceId: event.endpointId,
        });
        failUnreachable(ctx, event.endpointId);
      }
      loseConnection(ctx, event.endpointId, event.unsent, advanceInContext);
      break;
    case "message":
      receiveMessage(ctx, event.endpointId, event.message);
      break;
    case "config_applied":
      applyConfig(ctx, event.version, event.bundle);
      break;
    case "membership":
      noteMembership(ctx, event.event);
      break;
    case "drain_requested":
      state.draining = true;
      break;
    case "tick":
      noteMembership(ctx, { type: "tick", nowMs });
      checkConnections(ctx, advanceInContext);
      checkRequests(ctx, advanceInContext);
      checkConfigWaits(ctx);
      break;
  }
}

/** Advances the life cycle of a request and does what it asks for. */
function advance(
  ctx: RouterContext,
  request: RequestState,
  event: RequestMachineEvent,
): void {
  const { snapshot, actions } = advanceRequest(request.snapshot, event);
  request.snapshot = snapshot;
  for (const action of actions) {
    runAction(ctx, request, action, event);
  }
}

function runAction(
  ctx: RouterContext,
  request: RequestState,
  action: RequestActionType,
  event: RequestMachineEvent,
): void {
  switch (action) {
    case "startPlacement":
      place(ctx, request);
      break;
    case "resumeAttempt":
      resumeAttempt(ctx, request);
      break;
    case "cancelAttempt":
      cancelAttempt(ctx, request);
      break;
    case "finish":
      if (event.type === "caller_gone") {
        dropCaller(ctx, request);
      } else {
        finishAnswer(ctx, request);
      }
      break;
    default:
      giveUp(ctx, request, action);
  }
}

function place(ctx: RouterContext, request: RequestState): void {
  if (request.awaitsConfig) {
    return;
  }
  const placement = startPlacement(ctx, request);
  if (placement !== "probing") {
    advance(ctx, request, { type: placement });
  }
}

function receiveRequest(
  ctx: RouterContext,
  request: Extract<RouterEvent, { type: "request_received" }>["request"],
): void {
  const admission = admitRequest(ctx, request);
  if ("error" in admission) {
    const { error } = admission;
    countRejected(ctx, request, error);
    ctx.effects.push({
      type: "respond_error",
      requestId: request.requestId,
      error,
    });
    return;
  }
  place(ctx, admission.request);
}

function receiveConnected(
  ctx: RouterContext,
  { endpointId, hello, nowMs }: Extract<RouterEvent, { type: "connected" }>,
): void {
  const contact = contactOf(ctx.state, endpointId);
  contact.connected = true;
  contact.lastPingMs = nowMs;
  contact.unansweredPingMs = undefined;
  contact.incarnation = hello.incarnation;
  for (const attemptId of contact.attemptIds) {
    const attempt = ctx.state.requestsByAttempt.get(attemptId)?.attempt;
    if (attempt) {
      attempt.incarnation ??= hello.incarnation;
    }
  }
  noteMembership(ctx, {
    type: "answered",
    nowMs,
    instanceId: endpointId,
    facts: { incarnation: hello.incarnation },
  });
  hintConfig(ctx, endpointId, hello.configVersion);
}

function receiveMessage(
  ctx: RouterContext,
  endpointId: string,
  message: Message,
): void {
  const { state, nowMs } = ctx;
  if (message.type === "pong") {
    contactOf(state, endpointId).unansweredPingMs = undefined;
  }
  if ("facts" in message) {
    noteFacts(ctx, endpointId, message.facts);
    noteMembership(ctx, {
      type: "answered",
      nowMs,
      instanceId: endpointId,
      facts: message.facts,
    });
    hintConfig(ctx, endpointId, message.facts.configVersion);
  }
  switch (message.type) {
    case "probe_reply":
      receiveProbe(ctx, endpointId, message);
      break;
    case "accepted":
    case "refused":
      receiveDecision(ctx, endpointId, message);
      break;
    case "head":
    case "chunk":
    case "end":
    case "failed":
      receiveAnswer(ctx, endpointId, message);
      break;
    case "ping":
      sendTo(ctx, endpointId, { type: "pong" });
      break;
    default:
      break;
  }
}

function receiveProbe(
  ctx: RouterContext,
  endpointId: string,
  reply: Extract<Message, { type: "probe_reply" }>,
): void {
  const request = ctx.state.requestsByProbe.get(reply.probeId);
  contactOf(ctx.state, endpointId).probeIds.delete(reply.probeId);
  ctx.state.requestsByProbe.delete(reply.probeId);
  if (!request?.probing) {
    return;
  }
  receiveProbeReply(ctx, request, reply);
  const placement = finishProbing(ctx, request, false);
  if (placement !== "probing") {
    advance(ctx, request, { type: placement });
  }
}

function receiveDecision(
  ctx: RouterContext,
  endpointId: string,
  message: Extract<Message, { type: "accepted" | "refused" }>,
): void {
  const request = ctx.state.requestsByAttempt.get(message.attemptId);
  if (!request) {
    return;
  }
  if (message.type === "accepted") {
    if (request.attempt) {
      request.attempt.resumeDeadlineMs = undefined;
    }
    advance(ctx, request, { type: "accepted" });
    return;
  }
  const result = receiveRefused(ctx, request, endpointId, message);
  if (result) {
    advance(ctx, request, result);
  }
}

function receiveAnswer(
  ctx: RouterContext,
  endpointId: string,
  frame: Extract<Message, { type: "head" | "chunk" | "end" | "failed" }>,
): void {
  const request = ctx.state.requestsByAttempt.get(frame.attemptId);
  if (!isExpected(ctx, request, endpointId, frame)) {
    return;
  }
  const result = frame.type === "head"
    ? receiveHead(request, frame)
    : frame.type === "chunk"
    ? receiveChunk(ctx, request, frame)
    : frame.type === "end"
    ? receiveEnd(ctx, request, frame)
    : receiveFailed(ctx, request, frame);
  if (result) {
    advance(ctx, request, result);
  }
}

/**
 * A refused connection proves that the process which held the attempts is
 * gone, so there is nothing left to resume.
 */
function failUnreachable(ctx: RouterContext, endpointId: string): void {
  for (const attemptId of contactOf(ctx.state, endpointId).attemptIds) {
    const attempt = ctx.state.requestsByAttempt.get(attemptId)?.attempt;
    if (attempt?.resumeDeadlineMs !== undefined) {
      attempt.resumeDeadlineMs = ctx.nowMs;
    }
  }
}

function applyConfig(
  ctx: RouterContext,
  version: number,
  bundle: Bundle,
): void {
  const { state } = ctx;
  if (state.config && version <= state.config.version) {
    return;
  }
  state.config = indexBundle(version, bundle);
  // Limits may have changed; they are created anew on the next request.
  for (const [name, usage] of state.usage) {
    if (usage.concurrent === 0) {
      state.usage.delete(name);
    }
  }
  ctx.effects.push({
    type: "log",
    event: "config_applied",
    fields: { version },
  });
  checkConfigWaits(ctx);
}

function indexBundle(version: number, bundle: Bundle): RouterConfig {
  const poolsByName = new Map(bundle.pools.map((pool) => [pool.name, pool]));
  return {
    version,
    poolsByName,
    accountsByKeyHash: new Map(
      bundle.accounts.flatMap((account) =>
        account.key_hashes.map((hash) => [hash, account] as const)
      ),
    ),
    poolsByModel: new Map(
      bundle.pools.flatMap((pool) =>
        pool.models.map((model) => [model, pool] as const)
      ),
    ),
    servicesByName: new Map(
      bundle.services.map((service) => [service.name, service]),
    ),
  };
}

/** Places requests whose sidecar demanded a newer configuration. */
function checkConfigWaits(ctx: RouterContext): void {
  const version = ctx.state.config?.version ?? 0;
  for (const request of [...ctx.state.requests.values()]) {
    const wait = request.awaitsConfig;
    if (wait && version >= wait.version) {
      request.awaitsConfig = undefined;
      place(ctx, request);
    } else if (wait && ctx.nowMs >= wait.untilMs) {
      request.awaitsConfig = undefined;
      advance(ctx, request, { type: "no_endpoint" });
    }
  }
}

function hintConfig(ctx: RouterContext, peerId: string, version: number) {
  if (version > (ctx.state.config?.version ?? 0)) {
    ctx.effects.push({ type: "config_hint", version, peerId });
  }
}

function withRequest(
  ctx: RouterContext,
  requestId: string,
  run: (request: RequestState) => void,
): void {
  const request = ctx.state.requests.get(requestId);
  if (request) {
    run(request);
  }
}
