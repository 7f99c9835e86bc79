import type { Bundle } from "../config/index.js";
import type { Message } from "../wire/index.js";
import { admitRequest, recordRejection } from "./admit_request.js";
import {
  cancelAttempt,
  finishAnswer,
  finishDisconnected,
  finishUnanswered,
} from "./finish_request.js";
import {
  finishProbing,
  recordProbeReply,
  sendTo,
  startPlacement,
} from "./place_request.js";
import {
  acknowledgeFrames,
  isExpectedFrame,
  receiveChunk,
  receiveEnd,
  receiveFailed,
  receiveHead,
  receiveRefused,
  recordEndpointStatus,
} from "./receive_answer.js";
import {
  type RequestActionType,
  type RequestMachineEvent,
  transitionRequest,
} from "./request_machine.js";
import type { RouterEffect, RouterEvent } from "./router_event.js";
import {
  type BundleIndex,
  type RequestState,
  type RouterContext,
  type RouterState,
  sidecarConnectionOf,
} from "./router_state.js";
import {
  applyMembershipEvent,
  checkConnections,
  checkRequests,
  handleConnectionLost,
  resumeAttempt,
} from "./watch_connections.js";

/**
 * Applies one event to the state of a router and returns the effects to run.
 *
 * The state is updated in place, because its tables have up to 10^5 entries and
 * copying them for each event would be too expensive.
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
  const sendMachineEvent = (
    request: RequestState,
    machineEvent: RequestMachineEvent,
  ) => advanceRequestMachine(ctx, request, machineEvent);
  switch (event.type) {
    case "request_received":
      receiveRequest(ctx, event.request);
      break;
    case "caller_gone":
      withRequest(
        ctx,
        event.requestId,
        (request) =>
          advanceRequestMachine(ctx, request, { type: "caller_gone" }),
      );
      break;
    case "caller_congested":
      withRequest(ctx, event.requestId, (request) => {
        request.callerCongested = event.congested;
        acknowledgeFrames(ctx, request, 1);
      });
      break;
    case "connected":
      handleConnectionOpened(ctx, event);
      break;
    case "connection_closed":
      if (!event.wasReady) {
        applyMembershipEvent(ctx, {
          type: "connect_failed",
          nowMs,
          instanceId: event.endpointId,
        });
        expireResumeDeadlines(ctx, event.endpointId);
      }
      handleConnectionLost(
        ctx,
        event.endpointId,
        event.unsent,
        sendMachineEvent,
      );
      break;
    case "message":
      receiveMessage(ctx, event.endpointId, event.message);
      break;
    case "config_applied":
      applyConfig(ctx, event.configVersion, event.bundle);
      break;
    case "membership":
      applyMembershipEvent(ctx, event.event);
      break;
    case "drain_requested":
      state.draining = true;
      break;
    case "tick":
      applyMembershipEvent(ctx, { type: "tick", nowMs });
      checkConnections(ctx, sendMachineEvent);
      checkRequests(ctx, sendMachineEvent);
      checkConfigWaits(ctx);
      break;
  }
}

/** Sends an event to a request's state machine and runs the resulting actions. */
function advanceRequestMachine(
  ctx: RouterContext,
  request: RequestState,
  event: RequestMachineEvent,
): void {
  const { snapshot, actions } = transitionRequest(request.snapshot, event);
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
      placeRequest(ctx, request);
      break;
    case "resumeAttempt":
      resumeAttempt(ctx, request);
      break;
    case "cancelAttempt":
      cancelAttempt(ctx, request);
      break;
    case "finish":
      if (event.type === "caller_gone") {
        finishDisconnected(ctx, request);
      } else {
        finishAnswer(ctx, request);
      }
      break;
    default:
      finishUnanswered(ctx, request, action);
  }
}

function placeRequest(ctx: RouterContext, request: RequestState): void {
  if (request.configWait) {
    return;
  }
  const placementResult = startPlacement(ctx, request);
  if (placementResult !== "probing") {
    advanceRequestMachine(ctx, request, { type: placementResult });
  }
}

function receiveRequest(
  ctx: RouterContext,
  request: Extract<RouterEvent, { type: "request_received" }>["request"],
): void {
  const admissionResult = admitRequest(ctx, request);
  if ("error" in admissionResult) {
    const { error } = admissionResult;
    recordRejection(ctx, request, error);
    ctx.effects.push({
      type: "respond_error",
      requestId: request.requestId,
      error,
    });
    return;
  }
  placeRequest(ctx, admissionResult.request);
}

function handleConnectionOpened(
  ctx: RouterContext,
  { endpointId, hello, nowMs }: Extract<RouterEvent, { type: "connected" }>,
): void {
  const connection = sidecarConnectionOf(ctx.state, endpointId);
  connection.connected = true;
  connection.lastPingMs = nowMs;
  connection.unansweredPingMs = undefined;
  connection.incarnation = hello.incarnation;
  for (const attemptId of connection.attemptIds) {
    const attempt = ctx.state.requestsByAttempt.get(attemptId)?.attempt;
    if (attempt) {
      attempt.incarnation ??= hello.incarnation;
    }
  }
  applyMembershipEvent(ctx, {
    type: "answered",
    nowMs,
    instanceId: endpointId,
    status: { incarnation: hello.incarnation },
  });
  reportNewerConfig(ctx, endpointId, hello.configVersion);
}

function receiveMessage(
  ctx: RouterContext,
  endpointId: string,
  message: Message,
): void {
  const { state, nowMs } = ctx;
  if (message.type === "pong") {
    sidecarConnectionOf(state, endpointId).unansweredPingMs = undefined;
  }
  if ("facts" in message) {
    recordEndpointStatus(ctx, endpointId, message.facts);
    applyMembershipEvent(ctx, {
      type: "answered",
      nowMs,
      instanceId: endpointId,
      status: message.facts,
    });
    reportNewerConfig(ctx, endpointId, message.facts.configVersion);
  }
  switch (message.type) {
    case "probe_reply":
      handleProbeReply(ctx, endpointId, message);
      break;
    case "accepted":
    case "refused":
      receiveAdmissionDecision(ctx, endpointId, message);
      break;
    case "head":
    case "chunk":
    case "end":
    case "failed":
      receiveAnswerFrame(ctx, endpointId, message);
      break;
    case "ping":
      sendTo(ctx, endpointId, { type: "pong" });
      break;
    default:
      break;
  }
}

function handleProbeReply(
  ctx: RouterContext,
  endpointId: string,
  reply: Extract<Message, { type: "probe_reply" }>,
): void {
  const request = ctx.state.requestsByProbe.get(reply.probeId);
  sidecarConnectionOf(ctx.state, endpointId).probeIds.delete(reply.probeId);
  ctx.state.requestsByProbe.delete(reply.probeId);
  if (!request?.probeRound) {
    return;
  }
  recordProbeReply(ctx, request, reply);
  const placementResult = finishProbing(ctx, request, false);
  if (placementResult !== "probing") {
    advanceRequestMachine(ctx, request, { type: placementResult });
  }
}

function receiveAdmissionDecision(
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
      request.attempt.resumeDeadlineAtMs = undefined;
    }
    advanceRequestMachine(ctx, request, { type: "accepted" });
    return;
  }
  const result = receiveRefused(ctx, request, endpointId, message);
  if (result) {
    advanceRequestMachine(ctx, request, result);
  }
}

function receiveAnswerFrame(
  ctx: RouterContext,
  endpointId: string,
  frame: Extract<Message, { type: "head" | "chunk" | "end" | "failed" }>,
): void {
  const request = ctx.state.requestsByAttempt.get(frame.attemptId);
  if (!isExpectedFrame(ctx, request, endpointId, frame)) {
    return;
  }
  const result = frame.type === "head"
    ? receiveHead(ctx, request, frame)
    : frame.type === "chunk"
    ? receiveChunk(ctx, request, frame)
    : frame.type === "end"
    ? receiveEnd(ctx, request, frame)
    : receiveFailed(ctx, request, frame);
  if (result) {
    advanceRequestMachine(ctx, request, result);
  }
}

/**
 * Moves the resume deadlines of an endpoint's attempts to the current time.
 * Called when no connection to the endpoint's sidecar could be opened: the
 * process that ran the attempts is then assumed to have exited, so they cannot
 * be resumed.
 */
function expireResumeDeadlines(ctx: RouterContext, endpointId: string): void {
  for (
    const attemptId of sidecarConnectionOf(ctx.state, endpointId).attemptIds
  ) {
    const attempt = ctx.state.requestsByAttempt.get(attemptId)?.attempt;
    if (attempt?.resumeDeadlineAtMs !== undefined) {
      attempt.resumeDeadlineAtMs = ctx.nowMs;
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
  // The new configuration may have other limits. The usage entry of each
  // account without requests in progress is removed; the account's next request
  // creates an entry with the new limits.
  for (const [name, usage] of state.accountUsage) {
    if (usage.concurrentRequests === 0) {
      state.accountUsage.delete(name);
    }
  }
  ctx.effects.push({
    type: "log",
    event: "config_applied",
    fields: { version },
  });
  checkConfigWaits(ctx);
}

function indexBundle(version: number, bundle: Bundle): BundleIndex {
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
    evacuatedDomains: new Set(bundle.evacuated_failure_domains),
  };
}

/**
 * Places requests that waited for a newer configuration, if it has arrived, and
 * fails those whose wait has timed out.
 */
function checkConfigWaits(ctx: RouterContext): void {
  const version = ctx.state.config?.version ?? 0;
  for (const request of [...ctx.state.requests.values()]) {
    const configWait = request.configWait;
    if (configWait && version >= configWait.version) {
      request.configWait = undefined;
      placeRequest(ctx, request);
    } else if (configWait && ctx.nowMs >= configWait.untilMs) {
      request.configWait = undefined;
      advanceRequestMachine(ctx, request, { type: "no_endpoint" });
    }
  }
}

function reportNewerConfig(
  ctx: RouterContext,
  peerId: string,
  version: number,
) {
  if (version > (ctx.state.config?.version ?? 0)) {
    ctx.effects.push({ type: "config_hint", configVersion: version, peerId });
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
