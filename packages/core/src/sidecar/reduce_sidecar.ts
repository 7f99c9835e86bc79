import type { Millis } from "../clock.js";
import type { Pool } from "../config/index.js";
import { unpackHashes } from "../placement/index.js";
import type {
  EndpointState,
  Message,
  MessageOf,
  Order,
} from "../wire/index.js";
import {
  admitAttempt,
  leastLoadedIds,
  refuseAttempt,
} from "./admit_attempt.js";
import { CacheIndex } from "./cache_index.js";
import { exchangeDigests, receiveDigest } from "./exchange_digests.js";
import {
  abandon,
  acknowledgeFrames,
  advance,
  forget,
  receiveCallData,
  receiveCallEnded,
  receiveCallFailed,
  receiveCallHead,
  refuseQueued,
  startQueued,
} from "./run_attempt.js";
import type {
  ExecutionDecision,
  PoolPeer,
  SidecarEffect,
  SidecarEvent,
} from "./sidecar_event.js";
import {
  type AttemptState,
  boundOptionsOf,
  type ConnectionState,
  createQueue,
  factsOf,
  measure,
  type SidecarContext,
  type SidecarState,
} from "./sidecar_state.js";

/** A router that sent no frame for this long while it waits is gone. */
const SILENCE_LIMIT_MS: Millis = 2000;

/** Time in which a router may come back for an attempt. */
const DETACHED_LIMIT_MS: Millis = 5000;

/** Frames of an ended attempt are kept this long for a late resume. */
const ENDED_RETENTION_MS: Millis = 10_000;

/** A tick that is this late shows that the process was paused. */
const PAUSE_LIMIT_MS: Millis = 1000;

/**
 * Advances a sidecar by one event and returns the effects to run. The state
 * is updated in place, as in `reduceRouter`.
 */
export function reduceSidecar(
  state: SidecarState,
  event: SidecarEvent,
): SidecarEffect[] {
  const ctx: SidecarContext = { state, nowMs: event.nowMs, effects: [] };
  dispatch(ctx, event);
  startQueued(ctx);
  exitIfEmpty(ctx);
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
      hintConfig(ctx, event.connectionId, event.hello.configVersion);
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
        (attempt) => decideExecution(ctx, attempt, event.decision),
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
      noteHealth(ctx, event.healthy);
      break;
    case "cache_events":
      state.cache.applyEvents(event.stored, event.evicted);
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
      answerOrder(ctx, event);
      break;
    case "fencing_known":
      state.highestFencingNumber = Math.max(
        event.number,
        state.highestFencingNumber ?? 0,
      );
      break;
    case "tick":
      checkTimes(ctx);
      checkDrainTime(ctx);
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
      withOwnAttempt(
        ctx,
        connection,
        message.attemptId,
        (attempt) => acknowledgeFrames(ctx, attempt, message.nextSeq),
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
  hintConfig(ctx, connectionId, probe.configVersion);
  ctx.effects.push({
    type: "send",
    connectionId,
    message: {
      type: "probe_reply",
      probeId: probe.probeId,
      facts: factsOf(ctx),
      cachedIndex: ctx.state.cache.longestPrefix(
        unpackHashes(probe.prefixHashes),
      ),
    },
  });
}

function decideExecution(
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
    // The submit frame may still arrive on an older connection; it must not
    // run any more.
    if (!state.ended.has(attemptId)) {
      state.ended.set(attemptId, "not-run");
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
  detach(ctx, attempt);
  abandon(ctx, attempt);
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
    // Noting the id keeps a submit frame that is still under way from running.
    const outcome = state.ended.get(attemptId) ??
      (attempt ? "unknown" : "not-run");
    refuseAttempt(ctx, connectionId, attemptId, "unknown_attempt", {
      outcome,
    });
    return;
  }
  detach(ctx, attempt);
  attempt.connectionId = connectionId;
  attempt.detachedAtMs = undefined;
  connection.attemptIds.add(attemptId);
  ctx.effects.push({
    type: "send",
    connectionId,
    message: { type: "accepted", attemptId, facts: factsOf(ctx) },
  });
  for (const frame of attempt.frames) {
    if (frame.seq >= fromSeq) {
      ctx.effects.push({ type: "send", connectionId, message: frame });
    }
  }
}

function detach(ctx: SidecarContext, attempt: AttemptState): void {
  ctx.state.connections.get(attempt.connectionId ?? "")?.attemptIds.delete(
    attempt.attemptId,
  );
  attempt.connectionId = undefined;
  attempt.detachedAtMs ??= ctx.nowMs;
}

function closeConnection(ctx: SidecarContext, connectionId: string): void {
  const connection = ctx.state.connections.get(connectionId);
  if (!connection) {
    return;
  }
  for (const attemptId of [...connection.attemptIds]) {
    withAttempt(ctx, attemptId, (attempt) => detach(ctx, attempt));
  }
  ctx.state.connections.delete(connectionId);
}

function checkTimes(ctx: SidecarContext): void {
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

function noteHealth(ctx: SidecarContext, healthy: boolean): void {
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
    state.bound.noteJoin(ctx.nowMs);
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
function drain(ctx: SidecarContext, exit: boolean): void {
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
function checkDrainTime(ctx: SidecarContext): void {
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

function exitIfEmpty(ctx: SidecarContext): void {
  const { state } = ctx;
  if (state.exitWhenEmpty && !state.exited && state.attempts.size === 0) {
    state.exited = true;
    ctx.effects.push({ type: "exit" });
  }
}

function applyConfig(
  ctx: SidecarContext,
  version: number,
  pool: Pool | undefined,
): void {
  const { state } = ctx;
  if (version <= state.configVersion) {
    return;
  }
  state.configVersion = version;
  ctx.effects.push({
    type: "log",
    event: "config_applied",
    fields: { version },
  });
  if (!pool) {
    return;
  }
  if (pool.cache_capacity_tokens !== state.pool.cache_capacity_tokens) {
    state.cache = new CacheIndex(pool.cache_capacity_tokens);
  }
  if (pool.max_queued_requests !== state.pool.max_queued_requests) {
    replaceQueue(ctx, pool);
  }
  state.pool = pool;
  state.bound.setOptions(boundOptionsOf(pool));
}

function replaceQueue(ctx: SidecarContext, pool: Pool): void {
  const { state } = ctx;
  const waiting = [...state.queue];
  state.queue = createQueue(state.options, pool);
  for (const attempt of waiting) {
    const dropped = state.queue.push(attempt);
    if (dropped) {
      refuseQueued(ctx, dropped, "queue_full");
    }
  }
}

function applyPeers(ctx: SidecarContext, peers: readonly PoolPeer[]): void {
  const { state } = ctx;
  const others = peers.filter((peer) =>
    peer.endpointId !== state.options.endpointId
  );
  state.peers = others;
  state.ring = [];
  state.table.setListedPeers(others.map((peer) => peer.endpointId));
}

/**
 * Orders with an old fencing number are refused here, whether or not the
 * endpoint checks the number: this process is the only way in.
 */
function receiveOrder(
  ctx: SidecarContext,
  connectionId: string,
  order: Order,
): void {
  const { state } = ctx;
  if (state.highestFencingNumber === undefined) {
    const reason = "highest fencing number not known yet";
    replyToOrder(ctx, connectionId, order.orderId, false, reason);
    return;
  }
  if (order.fencingNumber < state.highestFencingNumber) {
    ctx.effects.push({
      type: "log",
      event: "order_refused",
      fields: {
        order_id: order.orderId,
        fencing_number: order.fencingNumber,
        highest: state.highestFencingNumber,
      },
    });
    replyToOrder(ctx, connectionId, order.orderId, false, "old fencing number");
    return;
  }
  state.highestFencingNumber = order.fencingNumber;
  if (order.kind === "drain") {
    drain(ctx, false);
    replyToOrder(ctx, connectionId, order.orderId, true, "draining");
    return;
  }
  ctx.effects.push({ type: "run_order", connectionId, order });
}

function answerOrder(
  ctx: SidecarContext,
  event: Extract<SidecarEvent, { type: "order_answered" }>,
): void {
  const { connectionId, orderId, accepted, reason } = event;
  replyToOrder(ctx, connectionId, orderId, accepted, reason);
}

function replyToOrder(
  ctx: SidecarContext,
  connectionId: string,
  orderId: string,
  accepted: boolean,
  reason: string,
): void {
  ctx.effects.push({
    type: "send",
    connectionId,
    message: {
      type: "order_reply",
      orderId,
      accepted,
      reason,
      highestFencingNumber: ctx.state.highestFencingNumber ?? 0,
    },
  });
}

function hintConfig(
  ctx: SidecarContext,
  connectionId: string,
  version: number,
): void {
  if (version > ctx.state.configVersion) {
    ctx.effects.push({ type: "config_hint", version, connectionId });
  }
}

function withAttempt(
  ctx: SidecarContext,
  attemptId: string,
  run: (attempt: AttemptState) => void,
): void {
  const attempt = ctx.state.attempts.get(attemptId);
  if (attempt) {
    run(attempt);
  }
}

/** Ignores frames about an attempt that another router submitted. */
function withOwnAttempt(
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
