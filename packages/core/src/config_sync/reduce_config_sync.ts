import type { Millis } from "../clock.js";
import { pickRandom } from "../membership/pick_random.js";
import type { MessageOf } from "../wire/messages.js";
import { ACTIVE_KEY } from "./config_objects.js";
import type { ConfigSyncEffect, ConfigSyncEvent } from "./config_sync_event.js";
import { type ConfigSyncState, versionInForce } from "./config_sync_state.js";
import {
  advanceFetch,
  expirePending,
  noteFetchRead,
  notePeerAnswered,
  notePeerContent,
  readObjects,
  STORE_READ_LIMIT_MS,
} from "./content_fetch.js";
import {
  count,
  finishStart,
  jitterMs,
  nameVersion,
  notePointer,
  retryNow,
} from "./version_control.js";

const COMPARE_INTERVAL_MS = 1_000;
/** Peers with which a router compares its version each second. */
const COMPARE_PEERS = 2;
/**
 * A process reads `config/active` itself when it has heard for this long from
 * no peer that knows of a look at the store. Hearing peers alone would not do:
 * without a watcher all of them could be equally uninformed. Sidecars rely on
 * the versions in probes and digests instead.
 */
const ROUTER_STALE_MS = 5_000;
const SIDECAR_STALE_MS = 60_000;
const MAX_STALE_JITTER_MS = 2_000;
const START_ASK_INTERVAL_MS = 1_000;
/** Bounds the burst when all processes of a large fleet start together. */
const MAX_START_ASKS = 32;
/**
 * Short, because a watch whose connection went silent delays a version by up
 * to this time. It costs 18 calls/s for the 36 watches of the two-year size.
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
 * The state is updated in place. The effects must be carried out in order.
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
      start(state, event, effects);
      return;
    case "tick":
      tick(state, event, effects);
      return;
    case "message_received":
      applyMessage(state, event, effects);
      return;
    case "peer_version_observed":
      if (state.options.role === "sidecar") {
        noteChecked(state, nowMs);
      }
      noteHolder(state, event.peerId, event.configVersion, nowMs, effects);
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
      noteWatchReturned(state, event, effects);
      return;
    case "watch_failed":
      noteWatchFailed(state, event, effects);
      return;
    case "objects_read":
      noteRead(state, event.requestId, event.objects, nowMs, effects);
      return;
    case "read_failed":
      noteRead(state, event.requestId, undefined, nowMs, effects);
      return;
  }
}

function start(
  state: ConfigSyncState,
  event: EventOf<"started">,
  effects: ConfigSyncEffect[],
): void {
  const { nowMs, seedPeerIds } = event;
  state.seedPeerIds = seedPeerIds;
  state.start = {
    askedPeerIds: new Set(),
    answeredPeerIds: new Set(),
    firstVersionMs: undefined,
    nextAskMs: nowMs,
  };
  askForStart(state, nowMs, effects);
  readPointerWhenStale(state, nowMs, effects);
  updateWatch(state, nowMs, effects);
}

function tick(
  state: ConfigSyncState,
  event: EventOf<"tick">,
  effects: ConfigSyncEffect[],
): void {
  const { nowMs } = event;
  state.peerIds = event.peerIds;
  state.listVersion = event.listVersion;
  askForStart(state, nowMs, effects);
  finishStart(state, nowMs, effects);
  expirePending(state, nowMs, effects);
  if (nowMs >= state.nextRetryMs) {
    retryNow(state, nowMs, effects);
  }
  comparePeers(state, nowMs, effects);
  expireWatch(state, nowMs, effects);
  updateWatch(state, nowMs, effects);
  expirePointerRead(state, nowMs, effects);
  readPointerWhenStale(state, nowMs, effects);
}

/** Asks the known peers for their versions until one is known. */
function askForStart(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const { start: record } = state;
  if (record === undefined || nowMs < record.nextAskMs) {
    return;
  }
  record.nextAskMs = nowMs + START_ASK_INTERVAL_MS;
  const known = [...new Set([...state.seedPeerIds, ...state.peerIds])];
  const unanswered = known.filter((id) => !record.answeredPeerIds.has(id));
  const asked = unanswered.length > 0 ? unanswered : known;
  for (const peerId of pickRandom(state.random, asked, MAX_START_ASKS)) {
    record.askedPeerIds.add(peerId);
    sendQuery(state, peerId, nowMs, effects);
  }
}

function comparePeers(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const { role } = state.options;
  if (
    role !== "router" || state.start !== undefined ||
    nowMs < state.nextCompareMs
  ) {
    return;
  }
  state.nextCompareMs = nowMs + COMPARE_INTERVAL_MS;
  for (const peerId of pickRandom(state.random, state.peerIds, COMPARE_PEERS)) {
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
    ...checkedField(state, nowMs),
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
    noteChecked(state, nowMs - message.checkedMsAgo);
  }
  if (message.type === "config_query") {
    noteHolder(state, peerId, message.configVersion, nowMs, effects);
    answerQuery(state, event, message, effects);
    return;
  }
  const { configVersion, manifest, sections } = message;
  state.start?.answeredPeerIds.add(peerId);
  const hasContent = manifest !== undefined;
  if (hasContent || configVersion <= versionInForce(state)) {
    notePeerAnswered(state, peerId);
  }
  if (hasContent && configVersion <= versionInForce(state)) {
    effects.push(count("older_ignored"));
  } else if (hasContent && !state.unreadableVersions.has(configVersion)) {
    const candidate = { version: configVersion, manifest };
    notePeerContent(state, candidate, sections ?? {}, nowMs, effects);
  }
  noteHolder(state, peerId, configVersion, nowMs, effects);
  finishStart(state, nowMs, effects);
}

function answerQuery(
  state: ConfigSyncState,
  { peerId, nowMs }: EventOf<"message_received">,
  query: MessageOf<"config_query">,
  effects: ConfigSyncEffect[],
): void {
  const configVersion = versionInForce(state);
  const isBehind = query.configVersion < configVersion;
  // A starting process counts answers, even those that name no version.
  if (!isBehind && query.configVersion > 0 && !query.wantContent) {
    return;
  }
  const message: MessageOf<"config_state"> = {
    type: "config_state",
    configVersion,
    ...checkedField(state, nowMs),
  };
  if (isBehind && query.wantContent) {
    message.manifest = { ...state.manifest };
    message.sections = sectionsWithout(state, query.haveSections);
  }
  effects.push({ type: "send", peerId, message });
}

function sectionsWithout(
  state: ConfigSyncState,
  heldPrefixes: readonly string[],
): Record<string, string> {
  const prefixChars = heldPrefixes[0]?.length ?? 0;
  const held = new Set(heldPrefixes);
  const sections: Record<string, string> = {};
  for (const [digest, content] of state.sections) {
    if (!held.has(digest.slice(0, prefixChars))) {
      sections[digest] = content;
    }
  }
  return sections;
}

function noteChecked(state: ConfigSyncState, checkedMs: Millis): void {
  state.checkedMs = Math.max(state.checkedMs, checkedMs);
}

/** Field of a message that passes on when the store was last looked at. */
function checkedField(
  state: ConfigSyncState,
  nowMs: Millis,
): { checkedMsAgo?: Millis } {
  return Number.isFinite(state.checkedMs)
    ? { checkedMsAgo: Math.max(0, Math.round(nowMs - state.checkedMs)) }
    : {};
}

function noteHolder(
  state: ConfigSyncState,
  peerId: string,
  version: number,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  if (version <= versionInForce(state)) {
    return;
  }
  const known = state.holders.get(peerId) ?? 0;
  if (version <= known) {
    return;
  }
  state.holders.set(peerId, version);
  nameVersion(state, version, nowMs, effects);
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
  watch.untilMs = nowMs + WATCH_TIMEOUT_MS + STORE_READ_LIMIT_MS;
  effects.push({
    type: "start_watch",
    watchId: watch.activeId,
    key: ACTIVE_KEY,
    afterVersion: state.pointerStoreVersion,
    timeoutMs: WATCH_TIMEOUT_MS,
  });
}

function noteWatchReturned(
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
  noteChecked(state, nowMs);
  if (object !== undefined && object.version > state.pointerStoreVersion) {
    notePointer(state, object, nowMs, effects);
    updateWatch(state, nowMs, effects);
  }
  // At a timeout the next tick starts the watch again, so that a store which
  // answers at once without news cannot cause a busy loop.
}

function noteWatchFailed(
  state: ConfigSyncState,
  event: EventOf<"watch_failed">,
  effects: ConfigSyncEffect[],
): void {
  const { watch } = state;
  if (event.watchId !== watch.activeId) {
    effects.push(count("late_answer"));
    return;
  }
  failWatch(state, event.nowMs, effects);
}

/** Recovers from a watch whose end never arrived. */
function expireWatch(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const { watch } = state;
  if (watch.activeId !== undefined && nowMs >= watch.untilMs) {
    effects.push({ type: "stop_watch", watchId: watch.activeId });
    failWatch(state, nowMs, effects);
  }
}

function failWatch(
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

function noteRead(
  state: ConfigSyncState,
  requestId: number,
  objects: EventOf<"objects_read">["objects"] | undefined,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  if (noteFetchRead(state, requestId, objects, nowMs, effects)) {
    return;
  }
  if (state.pointerRead?.requestId !== requestId) {
    effects.push(count("late_answer"));
    return;
  }
  state.pointerRead = undefined;
  if (objects === undefined) {
    notePointerReadFailed(state, nowMs, effects);
    return;
  }
  noteChecked(state, nowMs);
  state.pointerFailures = 0;
  state.nextPointerReadMs = nowMs;
  state.staleJitterMs = jitterMs(state, 2 * MAX_STALE_JITTER_MS);
  const object = objects.get(ACTIVE_KEY);
  if (object !== undefined) {
    notePointer(state, object, nowMs, effects);
  }
}

function readPointerWhenStale(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const limitMs = state.options.role === "router"
    ? ROUTER_STALE_MS
    : SIDECAR_STALE_MS;
  const checkedLately = nowMs < state.checkedMs + limitMs + state.staleJitterMs;
  const firstRead = state.start !== undefined && state.nextId === 1;
  if (
    state.pointerRead !== undefined || nowMs < state.nextPointerReadMs ||
    (checkedLately && !firstRead)
  ) {
    return;
  }
  state.pointerRead = {
    requestId: readObjects(state, [ACTIVE_KEY], effects),
    untilMs: nowMs + STORE_READ_LIMIT_MS,
  };
}

function expirePointerRead(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  if (state.pointerRead !== undefined && nowMs >= state.pointerRead.untilMs) {
    state.pointerRead = undefined;
    notePointerReadFailed(state, nowMs, effects);
  }
}

function notePointerReadFailed(
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
