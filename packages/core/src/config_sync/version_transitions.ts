import { uniformInt } from "pure-rand/distribution/uniformInt";
import { transition } from "xstate";
import type { Millis } from "../clock.js";
import type { Bundle } from "../config/bundle_schema.js";
import { manifestDigest } from "../config/config_sections.js";
import { pickRandom } from "../membership/pick_random.js";
import {
  type ActivePointer,
  ActivePointerSchema,
} from "./config_sync_objects.js";
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

/** Number of peers to which a router announces a version it has put in force. */
const ANNOUNCE_FAN_OUT = 4;
const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 4_000;
/**
 * A starting process waits this long for further answers once it knows of a
 * first version, so that one outdated peer does not decide alone.
 */
export const STARTUP_VERSION_WAIT_MS = 500;

interface CompleteVersion {
  readonly candidate: CandidateManifest;
  readonly bundle: Bundle;
}

/** Handles a version number that a peer or the store advertised. */
export function observeVersion(
  state: ConfigSyncState,
  version: number,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  if (state.startup !== undefined) {
    finishStartup(state, nowMs, effects);
    return;
  }
  const { inForceVersion, knownVersion } = state.snapshot.context;
  // Nearly every frame contains a version, but only a newer version needs a
  // transition.
  if (version > inForceVersion && version > knownVersion) {
    runMachine(state, { type: "versionAdvertised", version }, nowMs, effects);
  }
}

/**
 * Ends startup with the highest advertised version. This requires at least one
 * advertised version and one of these conditions: the store's pointer is known,
 * all queried peers have answered, or the wait for them is over.
 */
export function finishStartup(
  state: ConfigSyncState,
  nowMs: Millis,
  effects: ConfigSyncEffect[],
): void {
  const { startup, activePointer: pointer } = state;
  if (startup === undefined) {
    return;
  }
  const version = Math.max(
    pointer?.version ?? 0,
    ...state.advertisedVersions.values(),
  );
  if (version === 0) {
    return;
  }
  startup.firstVersionMs ??= nowMs;
  const allAnswered = [...startup.queriedPeerIds].every((id) =>
    startup.answeredPeerIds.has(id)
  );
  const waitIsOver = nowMs - startup.firstVersionMs >= STARTUP_VERSION_WAIT_MS;
  if (pointer !== undefined || allAnswered || waitIsOver) {
    state.startup = undefined;
    runMachine(state, { type: "versionAdvertised", version }, nowMs, effects);
  }
}

/** Retries a failed fetch at once, without waiting for its retry delay. */
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

/** Applies a pointer read from the store unless a newer one is known. */
export function applyPointer(
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
      text: "config/active does not match its schema and is ignored",
    });
    return;
  }
  state.pointerStoreVersion = object.version;
  const pointer = parsed.data;
  if (
    pointer.version < Math.max(versionInForce(state), pointerVersion(state))
  ) {
    effects.push(count("older_ignored"));
    return;
  }
  state.activePointer = pointer;
  observeVersion(state, pointer.version, nowMs, effects);
  if (pointer.version > versionInForce(state)) {
    retryNow(state, nowMs, effects);
  }
}

/**
 * Whether a manifest matches the digest in `config/active`. Also true for a
 * version other than the one named there, since its manifest cannot be checked.
 */
export function matchesPointer(
  state: ConfigSyncState,
  candidate: CandidateManifest,
): boolean {
  const pointer: ActivePointer | undefined = state.activePointer;
  if (pointer?.version !== candidate.version) {
    return true;
  }
  const digest = manifestDigest(candidate.manifest, state.options.digest);
  return digest === pointer.digest;
}

/** Keeps the sections that the manifest names and that match their digest. */
export function collectSections(
  state: ConfigSyncState,
  candidate: CandidateManifest,
  sections: Iterable<readonly [string, string]>,
  effects: ConfigSyncEffect[],
): void {
  const namedDigests = new Set(Object.values(candidate.manifest));
  for (const [digest, content] of sections) {
    if (!namedDigests.has(digest) || hasSection(state, digest)) {
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
 * Puts a candidate in force if all of its sections are available. Returns true
 * if nothing is left to fetch; this includes a candidate that is outdated or
 * cannot be parsed.
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
  const bundle = parseBundle(state, candidate, effects);
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
  complete?: CompleteVersion,
): void {
  const [snapshot, actions] = transition(configMachine, state.snapshot, event);
  state.snapshot = snapshot;
  for (const action of actions) {
    if (action.type === "applyVersion" && complete !== undefined) {
      applyVersion(state, complete, effects);
    } else if (action.type === "startFetch") {
      startFetch(state);
    } else if (action.type === "scheduleRetry") {
      scheduleRetry(state, nowMs);
    }
  }
}

/** Random time of up to half of a delay, to spread the load of processes. */
export function jitterMs(state: ConfigSyncState, delayMs: Millis): Millis {
  return uniformInt(state.random, 0, Math.floor(delayMs / 2));
}

export function count(counter: ConfigSyncCounter): ConfigSyncEffect {
  return { type: "count", counter, amount: 1 };
}

function pointerVersion(state: ConfigSyncState): number {
  return state.activePointer?.version ?? 0;
}

function hasSection(state: ConfigSyncState, digest: string): boolean {
  return state.sections.has(digest) || state.collected.has(digest);
}

function parseBundle(
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
      text:
        `configuration version ${candidate.version} cannot be parsed; version ` +
        `${versionInForce(state)} stays in force: ${String(error)}`,
    });
    return undefined;
  }
}

function applyVersion(
  state: ConfigSyncState,
  { candidate, bundle }: CompleteVersion,
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
  state.startup = undefined;
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
  announceVersion(state, version, effects);
  for (const [peerId, advertised] of state.advertisedVersions) {
    if (advertised <= version) {
      state.advertisedVersions.delete(peerId);
    }
  }
}

function announceVersion(
  state: ConfigSyncState,
  version: number,
  effects: ConfigSyncEffect[],
): void {
  if (state.options.role !== "router") {
    return;
  }
  const peerIds = state.peerIds.filter((id) =>
    (state.advertisedVersions.get(id) ?? 0) < version
  );
  for (const peerId of pickRandom(state.random, peerIds, ANNOUNCE_FAN_OUT)) {
    const message = { type: "config_state", configVersion: version } as const;
    effects.push({ type: "send", peerId, message }, count("push_sent"));
  }
}

function startFetch(state: ConfigSyncState): void {
  state.fetch = {
    candidate: undefined,
    triedPeerIds: new Set(),
    otherPeersQueried: 0,
    pending: undefined,
    pointerRequested: false,
    storeExhausted: false,
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
