import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { initialTransition, type SnapshotFrom } from "xstate";
import type { Millis } from "../clock.js";
import type { DigestFunction, Manifest } from "../config/config_sections.js";
import type { ActivePointer } from "./config_objects.js";
import { configMachine } from "./config_sync_machine.js";
import { ParsedSections } from "./parsed_sections.js";

export interface ConfigSyncOptions {
  readonly role: "router" | "sidecar";
  readonly seed: number;
  /** SHA-256 in hexadecimal digits. */
  readonly digest: DigestFunction;
  /** `always` is the baseline of the bench; sidecars never watch. */
  readonly watchMode: "elected" | "always";
}

/** A manifest whose sections are being collected. */
export interface CandidateManifest {
  readonly version: number;
  readonly manifest: Manifest;
}

/** A source that has been asked and has not answered yet. */
export type PendingSource =
  | {
    readonly kind: "peer";
    readonly peerId: string;
    readonly untilMs: Millis;
  }
  | {
    readonly kind: "pointer" | "manifest" | "sections";
    readonly requestId: number;
    readonly untilMs: Millis;
  };

export interface FetchRecord {
  candidate: CandidateManifest | undefined;
  readonly triedPeerIds: Set<string>;
  /** Peers asked although they had not named a newer version. */
  otherPeersAsked: number;
  pending: PendingSource | undefined;
  /** The pointer is read at most once for each fetch. */
  pointerRead: boolean;
  storeFailed: boolean;
}

/** Answers collected by a process that has no version yet. */
export interface StartRecord {
  readonly askedPeerIds: Set<string>;
  readonly answeredPeerIds: Set<string>;
  /** Time of the first answer that named a version. */
  firstVersionMs: Millis | undefined;
  nextAskMs: Millis;
}

export interface WatchRecord {
  wanted: boolean;
  /** Id of the watch in progress. */
  activeId: number | undefined;
  /** A watch that has not ended by then is given up. */
  untilMs: Millis;
  failures: number;
  nextStartMs: Millis;
}

/** A read of `config/active` that no fetch has asked for. */
export interface PointerRead {
  readonly requestId: number;
  readonly untilMs: Millis;
}

export interface ConfigSyncState {
  readonly options: ConfigSyncOptions;
  readonly random: RandomGenerator;
  snapshot: SnapshotFrom<typeof configMachine>;
  /** Content of the version in force. */
  manifest: Manifest;
  readonly sections: Map<string, string>;
  readonly parsed: ParsedSections;
  /** Verified sections of versions that are not complete yet. */
  readonly collected: Map<string, string>;
  /** Highest version named by each peer, if above the one in force. */
  readonly holders: Map<string, number>;
  /** Newest pointer that was read from the store. */
  pointer: ActivePointer | undefined;
  pointerStoreVersion: number;
  fetch: FetchRecord | undefined;
  /** Versions that cannot be applied, for example of a newer schema. */
  readonly unreadableVersions: Set<number>;
  start: StartRecord | undefined;
  readonly watch: WatchRecord;
  pointerRead: PointerRead | undefined;
  pointerFailures: number;
  /** Earliest next read of `config/active` after a failed one. */
  nextPointerReadMs: Millis;
  /** Time at which the store is known to have had no newer version. */
  checkedMs: Millis;
  /** Addition to the staleness limit, so that routers read one by one. */
  staleJitterMs: Millis;
  nextCompareMs: Millis;
  nextRetryMs: Millis;
  retryFailures: number;
  nextId: number;
  peerIds: readonly string[];
  seedPeerIds: readonly string[];
  listVersion: number | undefined;
}

export function createConfigSyncState(
  options: ConfigSyncOptions,
): ConfigSyncState {
  return {
    options,
    random: xoroshiro128plus(options.seed),
    snapshot: initialTransition(configMachine)[0],
    manifest: {},
    sections: new Map(),
    parsed: new ParsedSections(),
    collected: new Map(),
    holders: new Map(),
    pointer: undefined,
    pointerStoreVersion: 0,
    fetch: undefined,
    unreadableVersions: new Set(),
    start: undefined,
    watch: {
      wanted: options.watchMode === "always" && options.role === "router",
      activeId: undefined,
      untilMs: Number.POSITIVE_INFINITY,
      failures: 0,
      nextStartMs: Number.NEGATIVE_INFINITY,
    },
    pointerRead: undefined,
    pointerFailures: 0,
    nextPointerReadMs: Number.NEGATIVE_INFINITY,
    checkedMs: Number.NEGATIVE_INFINITY,
    staleJitterMs: 0,
    nextCompareMs: Number.NEGATIVE_INFINITY,
    nextRetryMs: Number.POSITIVE_INFINITY,
    retryFailures: 0,
    nextId: 1,
    peerIds: [],
    seedPeerIds: [],
    listVersion: undefined,
  };
}

/** Version in force; 0 while there is none and the process must not serve. */
export function versionInForce(state: ConfigSyncState): number {
  return state.snapshot.context.inForceVersion;
}

/** Highest version that a peer or the store has named. */
export function highestKnownVersion(state: ConfigSyncState): number {
  const { inForceVersion, knownVersion } = state.snapshot.context;
  return Math.max(inForceVersion, knownVersion);
}

/** Whether the process holds a version and may serve requests. */
export function isServing(state: ConfigSyncState): boolean {
  return versionInForce(state) > 0;
}
