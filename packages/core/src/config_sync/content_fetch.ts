import type { Millis } from "../clock.js";
import { pickRandom } from "../membership/pick_random.js";
import {
  ACTIVE_KEY,
  sectionKey,
  versionKey,
  VersionObjectSchema,
} from "./config_sync_objects.js";
import type { ConfigSyncEffect, VersionedValue } from "./config_sync_event.js";
import {
  type CandidateManifest,
  type ConfigSyncState,
  type FetchState,
  highestKnownVersion,
  type PendingSource,
  versionInForce,
} from "./config_sync_state.js";
import {
  applyPointer,
  collectSections,
  completeCandidate,
  count,
  matchesPointer,
  missingDigests,
  runMachine,
} from "./version_transitions.js";

/** Time after which a fetch abandons a peer and tries its next source. */
const PEER_TIMEOUT_MS = 1_000;
/**
 * Time after which a fetch abandons a store read; longer than the timeout that
 * the host applies to each store call.
 */
const STORE_TIMEOUT_MS = 3_000;
/**
 * Maximum number of peers that a fetch queries although they have not
 * advertised a newer version.
 */
const MAX_OTHER_PEERS = 2;
/**
 * Length of the digest prefixes by which a query lists the sections that this
 * process already has; 64 full digests would be the largest part of the query.
 * If the digest of a missing section starts with a listed prefix, the peer
 * omits that section, which is then fetched from another source.
 */
const DIGEST_PREFIX_CHARS = 12;

type Objects = ReadonlyMap<string, VersionedValue>;

/**
 * Queries the next source unless an answer is pending. The sources are queried
 * in this order: peers that advertised a newer version; the store, if its
 * pointer is newer; other peers; and last the store, whether or not its pointer
 * is newer.
 */
export function advanceFetch(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const { fetch } = state;
  if (fetch === undefined || fetch.pending !== undefined) {
    return;
  }
  const advertiser = nextAdvertisingPeer(state, fetch);
  if (advertiser !== undefined) {
    queryPeer(state, fetch, advertiser, nowMs, effects);
    return;
  }
  const pointerIsNewer =
    (state.activePointer?.version ?? 0) > versionInForce(state);
  if (pointerIsNewer && !fetch.storeExhausted) {
    queryStore(state, fetch, nowMs, effects);
    return;
  }
  const other = nextOtherPeer(state, fetch);
  if (other !== undefined) {
    fetch.otherPeersQueried++;
    queryPeer(state, fetch, other, nowMs, effects);
    return;
  }
  if (!fetch.storeExhausted) {
    queryStore(state, fetch, nowMs, effects);
    return;
  }
  runMachine(state, { type: "sourcesExhausted" }, nowMs, effects);
}

/** Abandons the pending source if it has not answered in time. */
export function expirePendingSource(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const pending = state.fetch?.pending;
  if (pending === undefined || nowMs < pending.expiresAtMs) {
    return;
  }
  if (pending.kind === "peer") {
    effects.push(count("peer_fetch_timeout"));
    state.advertisedVersions.delete(pending.peerId);
    state.fetch!.pending = undefined;
  } else {
    markStoreFailed(state.fetch!, effects);
  }
}

/** Marks a pending request to a peer as answered, with or without content. */
export function endPeerRequest(state: ConfigSyncState, peerId: string): void {
  const { fetch } = state;
  if (fetch?.pending?.kind === "peer" && fetch.pending.peerId === peerId) {
    fetch.pending = undefined;
  }
}

/** Applies content that a peer sent, of the version in force at that peer. */
export function applyPeerContent(
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
  const knownCandidate = state.fetch?.candidate;
  if (completeCandidate(state, candidate, nowMs, effects)) {
    return;
  }
  if (
    state.fetch !== undefined &&
    (knownCandidate === undefined || candidate.version > knownCandidate.version)
  ) {
    state.fetch.candidate = candidate;
  }
}

/**
 * Applies the result of a store read; `objects` is undefined if the read
 * failed. Returns false if the fetch in progress does not wait for this read.
 */
export function applyFetchRead(
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
    markStoreFailed(fetch, effects);
  } else if (pending.kind === "pointer") {
    applyFetchedPointer(state, fetch, objects, nowMs, effects);
  } else if (pending.kind === "manifest") {
    applyFetchedManifest(state, fetch, objects, nowMs, effects);
  } else {
    applyFetchedSections(state, fetch, objects, nowMs, effects);
  }
  return true;
}

/** Requests a store read and returns the id that its answer will carry. */
export function readObjects(
  state: ConfigSyncState,
  keys: readonly string[],
  effects: ConfigSyncEffect[],
): number {
  const requestId = state.nextId++;
  effects.push({ type: "read_objects", requestId, keys }, count("store_read"));
  return requestId;
}

/** Time after which a store read without an answer is abandoned. */
export const STORE_READ_TIMEOUT_MS: Millis = STORE_TIMEOUT_MS;

function nextAdvertisingPeer(
  state: ConfigSyncState,
  fetch: FetchState,
): string | undefined {
  let bestPeerId: string | undefined;
  let bestVersion = versionInForce(state);
  for (const [peerId, version] of state.advertisedVersions) {
    if (version > bestVersion && !fetch.triedPeerIds.has(peerId)) {
      bestPeerId = peerId;
      bestVersion = version;
    }
  }
  return bestPeerId;
}

function nextOtherPeer(
  state: ConfigSyncState,
  fetch: FetchState,
): string | undefined {
  if (fetch.otherPeersQueried >= MAX_OTHER_PEERS) {
    return undefined;
  }
  const peerIds = state.peerIds.filter((id) => !fetch.triedPeerIds.has(id));
  return pickRandom(state.random, peerIds, 1)[0];
}

function queryPeer(
  state: ConfigSyncState,
  fetch: FetchState,
  peerId: string,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  fetch.triedPeerIds.add(peerId);
  fetch.pending = {
    kind: "peer",
    peerId,
    expiresAtMs: nowMs + PEER_TIMEOUT_MS,
  };
  const availableDigests = [
    ...state.sections.keys(),
    ...state.collected.keys(),
  ];
  effects.push({
    type: "send",
    peerId,
    message: {
      type: "config_query",
      configVersion: versionInForce(state),
      haveSections: availableDigests.map((digest) =>
        digest.slice(0, DIGEST_PREFIX_CHARS)
      ),
      wantContent: true,
    },
  }, count("peer_fetch"));
}

function queryStore(
  state: ConfigSyncState,
  fetch: FetchState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const { candidate } = fetch;
  if (candidate !== undefined) {
    const keys = missingDigests(state, candidate).map(sectionKey);
    fetch.pending = startRead(state, "sections", keys, nowMs, effects);
    return;
  }
  const version = state.activePointer?.version ?? 0;
  const pointerIsOutdated = version < highestKnownVersion(state);
  if (pointerIsOutdated && !fetch.pointerRequested) {
    fetch.pointerRequested = true;
    fetch.pending = startRead(
      state,
      "pointer",
      [ACTIVE_KEY],
      nowMs,
      effects,
    );
  } else if (version > versionInForce(state)) {
    const keys = [versionKey(version)];
    fetch.pending = startRead(state, "manifest", keys, nowMs, effects);
  } else {
    // The store does not yet hold the version that a peer advertised.
    fetch.storeExhausted = true;
    advanceFetch(state, nowMs, effects);
  }
}

function startRead(
  state: ConfigSyncState,
  kind: "pointer" | "manifest" | "sections",
  keys: readonly string[],
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): PendingSource {
  const requestId = readObjects(state, keys, effects);
  return { kind, requestId, expiresAtMs: nowMs + STORE_TIMEOUT_MS };
}

function applyFetchedPointer(
  state: ConfigSyncState,
  fetch: FetchState,
  objects: Objects,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const object = objects.get(ACTIVE_KEY);
  if (object === undefined) {
    markStoreFailed(fetch, effects);
  } else {
    applyPointer(state, object, nowMs, effects);
  }
}

function applyFetchedManifest(
  state: ConfigSyncState,
  fetch: FetchState,
  objects: Objects,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const [object] = objects.values();
  const parsed = VersionObjectSchema.safeParse(object?.value);
  if (!parsed.success) {
    effects.push(count("unreadable"));
    markStoreFailed(fetch, effects);
    return;
  }
  const candidate = parsed.data;
  if (!matchesPointer(state, candidate)) {
    effects.push(count("digest_mismatch"), {
      type: "log",
      level: "error",
      text:
        `the manifest of configuration version ${candidate.version} does not ` +
        "match the digest in config/active",
    });
    markStoreFailed(fetch, effects);
    return;
  }
  fetch.candidate = candidate;
  completeCandidate(state, candidate, nowMs, effects);
}

function applyFetchedSections(
  state: ConfigSyncState,
  fetch: FetchState,
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
    markStoreFailed(fetch, effects);
  }
}

function markStoreFailed(fetch: FetchState, effects: ConfigSyncEffect[]): void {
  fetch.pending = undefined;
  fetch.storeExhausted = true;
  effects.push(count("store_failed"));
}
