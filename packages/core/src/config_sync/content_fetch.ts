import type { Millis } from "../clock.js";
import { pickRandom } from "../membership/pick_random.js";
import {
  ACTIVE_KEY,
  sectionKey,
  versionKey,
  VersionObjectSchema,
} from "./config_objects.js";
import type { ConfigSyncEffect, VersionedValue } from "./config_sync_event.js";
import {
  type CandidateManifest,
  type ConfigSyncState,
  type FetchRecord,
  highestKnownVersion,
  type PendingSource,
  versionInForce,
} from "./config_sync_state.js";
import {
  collectSections,
  completeCandidate,
  count,
  matchesPointer,
  missingDigests,
  notePointer,
  runMachine,
} from "./version_control.js";

/** A peer that does not answer within this time is passed over. */
const PEER_ANSWER_MS = 1_000;
/** Above the timeout of a store call, which the host enforces. */
const STORE_ANSWER_MS = 3_000;
/** Peers that are asked without having named the version themselves. */
const MAX_OTHER_PEERS = 2;
/**
 * Digests of held sections are sent as prefixes of this length: 64 digests in
 * full would be the largest part of the query. On a collision the section is
 * left out of the answer and read from another source.
 */
const HAVE_PREFIX_CHARS = 12;

type Objects = ReadonlyMap<string, VersionedValue>;

/** Asks the next source when no answer is pending. */
export function advanceFetch(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const { fetch } = state;
  if (fetch === undefined || fetch.pending !== undefined) {
    return;
  }
  const holder = nextHolder(state, fetch);
  if (holder !== undefined) {
    askPeer(state, fetch, holder, nowMs, effects);
    return;
  }
  const pointerIsNewer = (state.pointer?.version ?? 0) > versionInForce(state);
  if (pointerIsNewer && !fetch.storeFailed) {
    askStore(state, fetch, nowMs, effects);
    return;
  }
  const other = nextOtherPeer(state, fetch);
  if (other !== undefined) {
    fetch.otherPeersAsked++;
    askPeer(state, fetch, other, nowMs, effects);
    return;
  }
  if (!fetch.storeFailed) {
    askStore(state, fetch, nowMs, effects);
    return;
  }
  runMachine(state, { type: "sourcesExhausted" }, nowMs, effects);
}

/** Passes over a source that has not answered in time. */
export function expirePending(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const pending = state.fetch?.pending;
  if (pending === undefined || nowMs < pending.untilMs) {
    return;
  }
  if (pending.kind === "peer") {
    effects.push(count("peer_fetch_timeout"));
    state.holders.delete(pending.peerId);
    state.fetch!.pending = undefined;
  } else {
    failStore(state.fetch!, effects);
  }
}

/** A peer has answered with or without content. */
export function notePeerAnswered(state: ConfigSyncState, peerId: string): void {
  const { fetch } = state;
  if (fetch?.pending?.kind === "peer" && fetch.pending.peerId === peerId) {
    fetch.pending = undefined;
  }
}

/** Takes over content from a peer, which holds its version in force. */
export function notePeerContent(
  state: ConfigSyncState,
  candidate: CandidateManifest,
  sections: Readonly<Record<string, string>>,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  if (!matchesPointer(state, candidate)) {
    effects.push(count("digest_mismatch"));
    return;
  }
  collectSections(state, candidate, Object.entries(sections), effects);
  const known = state.fetch?.candidate;
  if (completeCandidate(state, candidate, nowMs, effects)) {
    return;
  }
  if (
    state.fetch !== undefined &&
    (known === undefined || candidate.version > known.version)
  ) {
    state.fetch.candidate = candidate;
  }
}

/** Returns whether the answer belonged to the fetch in progress. */
export function noteFetchRead(
  state: ConfigSyncState,
  requestId: number,
  objects: Objects | undefined,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): boolean {
  const { fetch } = state;
  const pending = fetch?.pending;
  if (
    fetch === undefined || pending === undefined || pending.kind === "peer" ||
    pending.requestId !== requestId
  ) {
    return false;
  }
  fetch.pending = undefined;
  if (objects === undefined) {
    failStore(fetch, effects);
  } else if (pending.kind === "pointer") {
    takePointer(state, fetch, objects, nowMs, effects);
  } else if (pending.kind === "manifest") {
    takeManifest(state, fetch, objects, nowMs, effects);
  } else {
    takeSections(state, fetch, objects, nowMs, effects);
  }
  return true;
}

export function readObjects(
  state: ConfigSyncState,
  keys: readonly string[],
  effects: ConfigSyncEffect[],
): number {
  const requestId = state.nextId++;
  effects.push({ type: "read_objects", requestId, keys }, count("store_read"));
  return requestId;
}

export const STORE_READ_LIMIT_MS: Millis = STORE_ANSWER_MS;

function nextHolder(
  state: ConfigSyncState,
  fetch: FetchRecord,
): string | undefined {
  let best: string | undefined;
  let bestVersion = versionInForce(state);
  for (const [peerId, version] of state.holders) {
    if (version > bestVersion && !fetch.triedPeerIds.has(peerId)) {
      best = peerId;
      bestVersion = version;
    }
  }
  return best;
}

function nextOtherPeer(
  state: ConfigSyncState,
  fetch: FetchRecord,
): string | undefined {
  if (fetch.otherPeersAsked >= MAX_OTHER_PEERS) {
    return undefined;
  }
  const peerIds = state.peerIds.filter((id) => !fetch.triedPeerIds.has(id));
  return pickRandom(state.random, peerIds, 1)[0];
}

function askPeer(
  state: ConfigSyncState,
  fetch: FetchRecord,
  peerId: string,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  fetch.triedPeerIds.add(peerId);
  fetch.pending = { kind: "peer", peerId, untilMs: nowMs + PEER_ANSWER_MS };
  const held = [...state.sections.keys(), ...state.collected.keys()];
  effects.push({
    type: "send",
    peerId,
    message: {
      type: "config_query",
      configVersion: versionInForce(state),
      haveSections: held.map((digest) => digest.slice(0, HAVE_PREFIX_CHARS)),
      wantContent: true,
    },
  }, count("peer_fetch"));
}

function askStore(
  state: ConfigSyncState,
  fetch: FetchRecord,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const { candidate } = fetch;
  if (candidate !== undefined) {
    const keys = missingDigests(state, candidate).map(sectionKey);
    fetch.pending = pendingRead(state, "sections", keys, nowMs, effects);
    return;
  }
  const version = state.pointer?.version ?? 0;
  const pointerIsOld = version < highestKnownVersion(state);
  if (pointerIsOld && !fetch.pointerRead) {
    fetch.pointerRead = true;
    fetch.pending = pendingRead(
      state,
      "pointer",
      [ACTIVE_KEY],
      nowMs,
      effects,
    );
  } else if (version > versionInForce(state)) {
    const keys = [versionKey(version)];
    fetch.pending = pendingRead(state, "manifest", keys, nowMs, effects);
  } else {
    // The store does not know the version yet that a peer has named.
    fetch.storeFailed = true;
    advanceFetch(state, nowMs, effects);
  }
}

function pendingRead(
  state: ConfigSyncState,
  kind: "pointer" | "manifest" | "sections",
  keys: readonly string[],
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): PendingSource {
  const requestId = readObjects(state, keys, effects);
  return { kind, requestId, untilMs: nowMs + STORE_ANSWER_MS };
}

function takePointer(
  state: ConfigSyncState,
  fetch: FetchRecord,
  objects: Objects,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const object = objects.get(ACTIVE_KEY);
  if (object === undefined) {
    failStore(fetch, effects);
  } else {
    notePointer(state, object, nowMs, effects);
  }
}

function takeManifest(
  state: ConfigSyncState,
  fetch: FetchRecord,
  objects: Objects,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const [object] = objects.values();
  const parsed = VersionObjectSchema.safeParse(object?.value);
  if (!parsed.success) {
    effects.push(count("unreadable"));
    failStore(fetch, effects);
    return;
  }
  const candidate = parsed.data;
  if (!matchesPointer(state, candidate)) {
    effects.push(count("digest_mismatch"), {
      type: "log",
      level: "error",
      text: `the manifest of configuration ${candidate.version} does not ` +
        "match the digest in config/active",
    });
    failStore(fetch, effects);
    return;
  }
  fetch.candidate = candidate;
  completeCandidate(state, candidate, nowMs, effects);
}

function takeSections(
  state: ConfigSyncState,
  fetch: FetchRecord,
  objects: Objects,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const candidate = fetch.candidate!;
  const sections: [string, string][] = [];
  for (const [key, object] of objects) {
    if (typeof object.value === "string") {
      sections.push([key.slice(sectionKey("").length), object.value]);
    }
  }
  collectSections(state, candidate, sections, effects);
  if (!completeCandidate(state, candidate, nowMs, effects)) {
    failStore(fetch, effects);
  }
}

function failStore(fetch: FetchRecord, effects: ConfigSyncEffect[]): void {
  fetch.pending = undefined;
  fetch.storeFailed = true;
  effects.push(count("store_failed"));
}
