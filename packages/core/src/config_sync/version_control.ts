import { uniformInt } from "pure-rand/distribution/uniformInt";
import { transition } from "xstate";
import type { Millis } from "../clock.js";
import type { Bundle } from "../config/bundle_schema.js";
import { manifestDigest } from "../config/config_sections.js";
import { pickRandom } from "../membership/pick_random.js";
import { type ActivePointer, ActivePointerSchema } from "./config_objects.js";
import type {
  ConfigSyncCounter,
  ConfigSyncEffect,
  VersionedValue,
} from "./config_sync_event.js";
import {
  configMachine,
  type ConfigMachineEvent,
} from "./config_sync_machine.js";
import {
  type CandidateManifest,
  type ConfigSyncState,
  versionInForce,
} from "./config_sync_state.js";

/** Peers told about a version that has come into force here. */
const PUSH_FAN_OUT = 4;
const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 4_000;
/**
 * A starting process waits this long after the first peer named a version, so
 * that a peer which is behind does not decide alone.
 */
export const START_GATHER_MS = 500;

interface Complete {
  readonly candidate: CandidateManifest;
  readonly bundle: Bundle;
}

/** Tells the machine about a version that a peer or the store has named. */
export function nameVersion(
  state: ConfigSyncState,
  version: number,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  if (state.start !== undefined) {
    finishStart(state, nowMs, effects);
    return;
  }
  const { inForceVersion, knownVersion } = state.snapshot.context;
  // Nearly every frame carries a version; few of them need the machine.
  if (version > inForceVersion && version > knownVersion) {
    runMachine(state, { type: "versionNamed", version }, nowMs, effects);
  }
}

/** Ends the start once the highest version of the answers is trustworthy. */
export function finishStart(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const { start, pointer } = state;
  if (start === undefined) {
    return;
  }
  const version = Math.max(pointer?.version ?? 0, ...state.holders.values());
  if (version === 0) {
    return;
  }
  start.firstVersionMs ??= nowMs;
  const allAnswered = [...start.askedPeerIds].every((id) =>
    start.answeredPeerIds.has(id)
  );
  const gathered = nowMs - start.firstVersionMs >= START_GATHER_MS;
  if (pointer !== undefined || allAnswered || gathered) {
    state.start = undefined;
    runMachine(state, { type: "versionNamed", version }, nowMs, effects);
  }
}

/** Gives a fetch that waits for its retry another chance at once. */
export function retryNow(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const { knownVersion } = state.snapshot.context;
  if (
    state.snapshot.value === "waiting" &&
    !state.unreadableVersions.has(knownVersion)
  ) {
    runMachine(state, { type: "retryDue" }, nowMs, effects);
  }
}

/** Takes over the pointer read from the store, unless it is an old one. */
export function notePointer(
  state: ConfigSyncState,
  object: VersionedValue,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  if (object.version <= state.pointerStoreVersion) {
    return;
  }
  const parsed = ActivePointerSchema.safeParse(object.value);
  if (!parsed.success) {
    effects.push(count("unreadable"), {
      type: "log",
      level: "error",
      text: "config/active does not match its schema; it is ignored",
    });
    return;
  }
  state.pointerStoreVersion = object.version;
  const pointer = parsed.data;
  if (pointer.version < Math.max(versionInForce(state), pointerNumber(state))) {
    effects.push(count("older_ignored"));
    return;
  }
  state.pointer = pointer;
  nameVersion(state, pointer.version, nowMs, effects);
  if (pointer.version > versionInForce(state)) {
    retryNow(state, nowMs, effects);
  }
}

/** Whether a manifest may be the one that was accepted as its version. */
export function matchesPointer(
  state: ConfigSyncState,
  candidate: CandidateManifest,
): boolean {
  const pointer: ActivePointer | undefined = state.pointer;
  if (pointer?.version !== candidate.version) {
    return true;
  }
  const digest = manifestDigest(candidate.manifest, state.options.digest);
  return digest === pointer.digest;
}

/** Keeps the sections that a manifest names and whose digest is right. */
export function collectSections(
  state: ConfigSyncState,
  candidate: CandidateManifest,
  sections: Iterable<readonly [string, string]>,
  effects: ConfigSyncEffect[],
): void {
  const named = new Set(Object.values(candidate.manifest));
  for (const [digest, content] of sections) {
    if (!named.has(digest) || hasSection(state, digest)) {
      continue;
    }
    if (state.options.digest(content) === digest) {
      state.collected.set(digest, content);
    } else {
      effects.push(count("digest_mismatch"));
    }
  }
}

export function missingDigests(
  state: ConfigSyncState,
  candidate: CandidateManifest,
): string[] {
  const digests = new Set(Object.values(candidate.manifest));
  return [...digests].filter((digest) => !hasSection(state, digest));
}

/**
 * Puts a candidate into force if all of its sections are there. Returns
 * whether nothing is left to fetch for it.
 */
export function completeCandidate(
  state: ConfigSyncState,
  candidate: CandidateManifest,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): boolean {
  const { version } = candidate;
  if (version <= versionInForce(state)) {
    return true;
  }
  if (missingDigests(state, candidate).length > 0) {
    return false;
  }
  const bundle = readBundle(state, candidate, effects);
  if (bundle === undefined) {
    state.unreadableVersions.add(version);
    runMachine(state, { type: "sourcesExhausted" }, nowMs, effects);
    return true;
  }
  const complete = { candidate, bundle };
  const event = { type: "versionComplete", version } as const;
  runMachine(state, event, nowMs, effects, complete);
  return true;
}

export function runMachine(
  state: ConfigSyncState,
  event: ConfigMachineEvent,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
  complete?: Complete,
): void {
  const [snapshot, actions] = transition(configMachine, state.snapshot, event);
  state.snapshot = snapshot;
  for (const action of actions) {
    if (action.type === "applyVersion" && complete !== undefined) {
      applyComplete(state, complete, effects);
    } else if (action.type === "startFetch") {
      startFetch(state);
    } else if (action.type === "scheduleRetry") {
      scheduleRetry(state, nowMs);
    }
  }
}

/** Up to half of a delay, so that processes do not act all at once. */
export function jitterMs(state: ConfigSyncState, delayMs: Millis): Millis {
  return uniformInt(state.random, 0, Math.floor(delayMs / 2));
}

export function count(counter: ConfigSyncCounter): ConfigSyncEffect {
  return { type: "count", counter, amount: 1 };
}

function pointerNumber(state: ConfigSyncState): number {
  return state.pointer?.version ?? 0;
}

function hasSection(state: ConfigSyncState, digest: string): boolean {
  return state.sections.has(digest) || state.collected.has(digest);
}

function readBundle(
  state: ConfigSyncState,
  candidate: CandidateManifest,
  effects: ConfigSyncEffect[],
): Bundle | undefined {
  const contentOf = (digest: string) =>
    state.sections.get(digest) ?? state.collected.get(digest)!;
  try {
    return state.parsed.join(candidate.manifest, contentOf);
  } catch (error) {
    effects.push(count("unreadable"), {
      type: "log",
      level: "error",
      text: `configuration ${candidate.version} cannot be read; version ` +
        `${versionInForce(state)} stays in force: ${String(error)}`,
    });
    return undefined;
  }
}

function applyComplete(
  state: ConfigSyncState,
  { candidate, bundle }: Complete,
  effects: ConfigSyncEffect[],
): void {
  const { version, manifest } = candidate;
  const sections = new Map<string, string>();
  for (const digest of Object.values(manifest)) {
    const content = state.sections.get(digest) ?? state.collected.get(digest);
    sections.set(digest, content!);
  }
  state.sections.clear();
  sections.forEach((content, digest) => state.sections.set(digest, content));
  state.collected.clear();
  state.manifest = manifest;
  state.fetch = undefined;
  state.start = undefined;
  state.retryFailures = 0;
  effects.push(
    { type: "apply", version, manifest, bundle },
    count("applied"),
    {
      type: "log",
      level: "info",
      text: `configuration version ${version} is in force`,
    },
  );
  pushVersion(state, version, effects);
  for (const [peerId, held] of state.holders) {
    if (held <= version) {
      state.holders.delete(peerId);
    }
  }
}

function pushVersion(
  state: ConfigSyncState,
  version: number,
  effects: ConfigSyncEffect[],
): void {
  if (state.options.role !== "router") {
    return;
  }
  const peerIds = state.peerIds.filter((id) =>
    (state.holders.get(id) ?? 0) < version
  );
  for (const peerId of pickRandom(state.random, peerIds, PUSH_FAN_OUT)) {
    const message = { type: "config_state", configVersion: version } as const;
    effects.push({ type: "send", peerId, message }, count("push_sent"));
  }
}

function startFetch(state: ConfigSyncState): void {
  state.fetch = {
    candidate: undefined,
    triedPeerIds: new Set(),
    otherPeersAsked: 0,
    pending: undefined,
    pointerRead: false,
    storeFailed: false,
  };
  state.nextRetryMs = Number.POSITIVE_INFINITY;
}

function scheduleRetry(state: ConfigSyncState, nowMs: Millis): void {
  const delayMs = Math.min(
    MAX_RETRY_MS,
    MIN_RETRY_MS * 2 ** state.retryFailures,
  );
  state.retryFailures++;
  state.fetch = undefined;
  state.nextRetryMs = nowMs + delayMs + jitterMs(state, delayMs);
}
