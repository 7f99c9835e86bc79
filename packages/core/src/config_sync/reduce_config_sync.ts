import type { Millis } from "../clock.js";
import { pickRandom } from "../membership/pick_random.js";
import type { MessageOf } from "../wire/messages.js";
import { ACTIVE_KEY } from "./config_sync_objects.js";
import type { ConfigSyncEffect, ConfigSyncEvent } from "./config_sync_event.js";
import { type ConfigSyncState, versionInForce } from "./config_sync_state.js";
import {
  advanceFetch,
  applyFetchRead,
  applyPeerContent,
  endPeerRequest,
  expirePendingSource,
  readObjects,
  STORE_READ_TIMEOUT_MS,
} from "./content_fetch.js";
import {
  applyPointer,
  count,
  finishStartup,
  jitterMs,
  observeVersion,
  retryNow,
} from "./version_transitions.js";

const COMPARE_INTERVAL_MS = 1_000;
/** Number of peers with which a router compares versions each second. */
const PEERS_PER_COMPARISON = 2;
/**
 * Age of the last known check of the store, by this process or by a peer, from
 * which a process reads `config/active` itself. Messages from peers are not
 * enough: if no process watches the store, all peers may have the same outdated
 * version. Sidecars wait longer because probes and load digests also bring them
 * versions.
 */
const ROUTER_STALE_MS = 5_000;
const SIDECAR_STALE_MS = 60_000;
const MAX_STALE_JITTER_MS = 2_000;
const STARTUP_QUERY_INTERVAL_MS = 1_000;
/**
 * Maximum number of peers that a starting process queries per interval; limits
 * the load when all processes of a large fleet start together.
 */
const MAX_STARTUP_QUERIES = 32;
/**
 * Short, because a watch on a stalled connection delays a version by up to this
 * time. At the fleet size planned for in two years, 36 watches make 18 calls/s.
 */
const WATCH_TIMEOUT_MS = 2_000;
const MIN_STORE_RETRY_MS = 500;
const MAX_STORE_RETRY_MS = 8_000;

type EventOf<T extends ConfigSyncEvent["type"]> = Extract<
  ConfigSyncEvent,
  { readonly type: T }
>;

/**
 * Keeps one process on the newest accepted configuration.
 *
 * The state is updated in place. The host must carry out the effects in order.
 */
export function reduceConfigSync(
  state: ConfigSyncState,
  event: ConfigSyncEvent,
): ConfigSyncEffect[] {
  const effects: ConfigSyncEffect[] = [];
  applyEvent(state, event, effects);
  advanceFetch(state, event.nowMs, effects);
  return effects;
}

function applyEvent(
  state: ConfigSyncState,
  event: ConfigSyncEvent,
  effects: ConfigSyncEffect[],
): void {
  const { nowMs } = event;
  switch (event.type) {
    case "started":
      handleStarted(state, event, effects);
      return;
    case "tick":
      handleTick(state, event, effects);
      return;
    case "message_received":
      applyMessage(state, event, effects);
      return;
    case "peer_version_observed":
      if (state.options.role === "sidecar") {
        recordStoreCheck(state, nowMs);
      }
      recordAdvertisedVersion(
        state,
        event.peerId,
        event.configVersion,
        nowMs,
        effects,
      );
      return;
    case "election_changed":
      if (
        state.options.role === "router" && state.options.watchMode === "elected"
      ) {
        state.watch.wanted = event.elected;
        updateWatch(state, nowMs, effects);
      }
      return;
    case "watch_returned":
      handleWatchReturned(state, event, effects);
      return;
    case "watch_failed":
      handleWatchFailed(state, event, effects);
      return;
    case "objects_read":
      handleRead(state, event.requestId, event.objects, nowMs, effects);
      return;
    case "read_failed":
      handleRead(state, event.requestId, undefined, nowMs, effects);
      return;
  }
}

function handleStarted(
  state: ConfigSyncState,
  event: EventOf<"started">,
  effects: ConfigSyncEffect[],
): void {
  const { nowMs, seedPeerIds } = event;
  state.seedPeerIds = seedPeerIds;
  state.startup = {
    queriedPeerIds: new Set(),
    answeredPeerIds: new Set(),
    firstVersionMs: undefined,
    nextQueryMs: nowMs,
  };
  queryPeersAtStartup(state, nowMs, effects);
  readPointerWhenStale(state, nowMs, effects);
  updateWatch(state, nowMs, effects);
}

function handleTick(
  state: ConfigSyncState,
  event: EventOf<"tick">,
  effects: ConfigSyncEffect[],
): void {
  const { nowMs } = event;
  state.peerIds = event.peerIds;
  state.listVersion = event.listVersion;
  queryPeersAtStartup(state, nowMs, effects);
  finishStartup(state, nowMs, effects);
  expirePendingSource(state, nowMs, effects);
  if (nowMs >= state.nextRetryMs) {
    retryNow(state, nowMs, effects);
  }
  compareVersionsWithPeers(state, nowMs, effects);
  expireWatch(state, nowMs, effects);
  updateWatch(state, nowMs, effects);
  expirePointerRead(state, nowMs, effects);
  readPointerWhenStale(state, nowMs, effects);
}

/** Queries peers for their versions until the startup has ended. */
function queryPeersAtStartup(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const { startup } = state;
  if (startup === undefined || nowMs < startup.nextQueryMs) {
    return;
  }
  startup.nextQueryMs = nowMs + STARTUP_QUERY_INTERVAL_MS;
  const knownPeerIds = [...new Set([...state.seedPeerIds, ...state.peerIds])];
  const unansweredPeerIds = knownPeerIds.filter((id) =>
    !startup.answeredPeerIds.has(id)
  );
  const candidates = unansweredPeerIds.length > 0
    ? unansweredPeerIds
    : knownPeerIds;
  for (
    const peerId of pickRandom(state.random, candidates, MAX_STARTUP_QUERIES)
  ) {
    startup.queriedPeerIds.add(peerId);
    sendQuery(state, peerId, nowMs, effects);
  }
}

function compareVersionsWithPeers(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const { role } = state.options;
  if (
    role !== "router" || state.startup !== undefined ||
    nowMs < state.nextCompareMs
  ) {
    return;
  }
  state.nextCompareMs = nowMs + COMPARE_INTERVAL_MS;
  for (
    const peerId of pickRandom(
      state.random,
      state.peerIds,
      PEERS_PER_COMPARISON,
    )
  ) {
    sendQuery(state, peerId, nowMs, effects);
    effects.push(count("compare_sent"));
  }
}

function sendQuery(
  state: ConfigSyncState,
  peerId: string,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const message: MessageOf<"config_query"> = {
    type: "config_query",
    configVersion: versionInForce(state),
    haveSections: [],
    wantContent: false,
    ...storeCheckField(state, nowMs),
  };
  if (state.listVersion !== undefined) {
    message.listVersion = state.listVersion;
  }
  effects.push({ type: "send", peerId, message });
}

function applyMessage(
  state: ConfigSyncState,
  event: EventOf<"message_received">,
  effects: ConfigSyncEffect[],
): void {
  const { nowMs, peerId, message } = event;
  if (message.checkedMsAgo !== undefined) {
    recordStoreCheck(state, nowMs - message.checkedMsAgo);
  }
  if (message.type === "config_query") {
    recordAdvertisedVersion(
      state,
      peerId,
      message.configVersion,
      nowMs,
      effects,
    );
    answerQuery(state, event, message, effects);
    return;
  }
  const { configVersion, manifest, sections } = message;
  state.startup?.answeredPeerIds.add(peerId);
  const hasContent = manifest !== undefined;
  if (hasContent || configVersion <= versionInForce(state)) {
    endPeerRequest(state, peerId);
  }
  if (hasContent && configVersion <= versionInForce(state)) {
    effects.push(count("older_ignored"));
  } else if (hasContent && !state.unreadableVersions.has(configVersion)) {
    const candidate = { version: configVersion, manifest };
    applyPeerContent(state, candidate, sections ?? {}, nowMs, effects);
  }
  recordAdvertisedVersion(state, peerId, configVersion, nowMs, effects);
  finishStartup(state, nowMs, effects);
}

function answerQuery(
  state: ConfigSyncState,
  { peerId, nowMs }: EventOf<"message_received">,
  query: MessageOf<"config_query">,
  effects: ConfigSyncEffect[],
): void {
  const configVersion = versionInForce(state);
  const isBehind = query.configVersion < configVersion;
  // A starting process waits for all answers, also those without a version.
  if (!isBehind && query.configVersion > 0 && !query.wantContent) {
    return;
  }
  const message: MessageOf<"config_state"> = {
    type: "config_state",
    configVersion,
    ...storeCheckField(state, nowMs),
  };
  if (isBehind && query.wantContent) {
    message.manifest = { ...state.manifest };
    message.sections = sectionsWithout(state, query.haveSections);
  }
  effects.push({ type: "send", peerId, message });
}

function sectionsWithout(
  state: ConfigSyncState,
  excludedPrefixes: readonly string[],
): Record<string, string> {
  const prefixChars = excludedPrefixes[0]?.length ?? 0;
  const excluded = new Set(excludedPrefixes);
  const sections: Record<string, string> = {};
  for (const [digest, content] of state.sections) {
    if (!excluded.has(digest.slice(0, prefixChars))) {
      sections[digest] = content;
    }
  }
  return sections;
}

function recordStoreCheck(state: ConfigSyncState, checkedMs: Millis): void {
  state.storeCheckedMs = Math.max(state.storeCheckedMs, checkedMs);
}

/**
 * Message field with the time since the last known check of the store; absent
 * if no check is known.
 */
function storeCheckField(
  state: ConfigSyncState,
  nowMs: Millis,
): { checkedMsAgo?: Millis } {
  return Number.isFinite(state.storeCheckedMs)
    ? { checkedMsAgo: Math.max(0, Math.round(nowMs - state.storeCheckedMs)) }
    : {};
}

function recordAdvertisedVersion(
  state: ConfigSyncState,
  peerId: string,
  version: number,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  if (version <= versionInForce(state)) {
    return;
  }
  const previousVersion = state.advertisedVersions.get(peerId) ?? 0;
  if (version <= previousVersion) {
    return;
  }
  state.advertisedVersions.set(peerId, version);
  observeVersion(state, version, nowMs, effects);
  retryNow(state, nowMs, effects);
}

function updateWatch(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const { watch } = state;
  if (!watch.wanted && watch.activeId !== undefined) {
    effects.push({ type: "stop_watch", watchId: watch.activeId });
    watch.activeId = undefined;
    return;
  }
  if (
    !watch.wanted || watch.activeId !== undefined || nowMs < watch.nextStartMs
  ) {
    return;
  }
  watch.activeId = state.nextId++;
  watch.expiresAtMs = nowMs + WATCH_TIMEOUT_MS + STORE_READ_TIMEOUT_MS;
  effects.push({
    type: "start_watch",
    watchId: watch.activeId,
    key: ACTIVE_KEY,
    afterVersion: state.pointerStoreVersion,
    timeoutMs: WATCH_TIMEOUT_MS,
  });
}

function handleWatchReturned(
  state: ConfigSyncState,
  event: EventOf<"watch_returned">,
  effects: ConfigSyncEffect[],
): void {
  const { watch } = state;
  const { nowMs, object } = event;
  if (event.watchId !== watch.activeId) {
    effects.push(count("late_answer"));
    return;
  }
  watch.activeId = undefined;
  watch.failures = 0;
  recordStoreCheck(state, nowMs);
  if (object !== undefined && object.version > state.pointerStoreVersion) {
    applyPointer(state, object, nowMs, effects);
    updateWatch(state, nowMs, effects);
  }
  // After a timeout the next tick restarts the watch, so that a store that
  // answers at once without a newer version cannot cause a busy loop.
}

function handleWatchFailed(
  state: ConfigSyncState,
  event: EventOf<"watch_failed">,
  effects: ConfigSyncEffect[],
): void {
  const { watch } = state;
  if (event.watchId !== watch.activeId) {
    effects.push(count("late_answer"));
    return;
  }
  scheduleWatchRetry(state, event.nowMs, effects);
}

/** Cancels a watch whose result has not arrived in time. */
function expireWatch(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const { watch } = state;
  if (watch.activeId !== undefined && nowMs >= watch.expiresAtMs) {
    effects.push({ type: "stop_watch", watchId: watch.activeId });
    scheduleWatchRetry(state, nowMs, effects);
  }
}

function scheduleWatchRetry(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const { watch } = state;
  watch.activeId = undefined;
  watch.nextStartMs = nowMs + storeRetryMs(state, watch.failures);
  watch.failures++;
  effects.push(count("store_failed"));
}

function handleRead(
  state: ConfigSyncState,
  requestId: number,
  objects: EventOf<"objects_read">["objects"] | undefined,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  if (applyFetchRead(state, requestId, objects, nowMs, effects)) {
    return;
  }
  if (state.pointerRead?.requestId !== requestId) {
    effects.push(count("late_answer"));
    return;
  }
  state.pointerRead = undefined;
  if (objects === undefined) {
    schedulePointerReadRetry(state, nowMs, effects);
    return;
  }
  recordStoreCheck(state, nowMs);
  state.pointerFailures = 0;
  state.nextPointerReadMs = nowMs;
  state.staleJitterMs = jitterMs(state, 2 * MAX_STALE_JITTER_MS);
  const object = objects.get(ACTIVE_KEY);
  if (object !== undefined) {
    applyPointer(state, object, nowMs, effects);
  }
}

function readPointerWhenStale(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const staleLimitMs = state.options.role === "router"
    ? ROUTER_STALE_MS
    : SIDECAR_STALE_MS;
  const checkedRecently =
    nowMs < state.storeCheckedMs + staleLimitMs + state.staleJitterMs;
  const isFirstRead = state.startup !== undefined && state.nextId === 1;
  if (
    state.pointerRead !== undefined || nowMs < state.nextPointerReadMs ||
    (checkedRecently && !isFirstRead)
  ) {
    return;
  }
  state.pointerRead = {
    requestId: readObjects(state, [ACTIVE_KEY], effects),
    expiresAtMs: nowMs + STORE_READ_TIMEOUT_MS,
  };
}

function expirePointerRead(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  if (
    state.pointerRead !== undefined && nowMs >= state.pointerRead.expiresAtMs
  ) {
    state.pointerRead = undefined;
    schedulePointerReadRetry(state, nowMs, effects);
  }
}

function schedulePointerReadRetry(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  state.nextPointerReadMs = nowMs + storeRetryMs(state, state.pointerFailures);
  state.pointerFailures++;
  effects.push(count("store_failed"));
}

function storeRetryMs(state: ConfigSyncState, failures: number): Millis {
  const delayMs = Math.min(
    MAX_STORE_RETRY_MS,
    MIN_STORE_RETRY_MS * 2 ** failures,
  );
  return delayMs + jitterMs(state, delayMs);
}
