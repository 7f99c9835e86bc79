import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { initialTransition, type SnapshotFrom } from "xstate";
import type { Millis } from "../clock.js";
import type { DigestFunction, Manifest } from "../config/config_sections.js";
import type { ActivePointer } from "./config_sync_objects.js";
import { configMachine } from "./config_sync_machine.js";
import { ParsedSections } from "./parsed_sections.js";

export interface ConfigSyncOptions {
  readonly role: "router" | "sidecar";
  readonly seed: number;
  /** SHA-256 in hexadecimal digits. */
  readonly digest: DigestFunction;
  /**
   * Which routers watch `config/active`: only elected routers or, as a baseline
   * for the bench, all routers. Sidecars never watch.
   */
  readonly watchMode: "elected" | "always";
}

/** A manifest whose sections are being collected. */
export interface CandidateManifest {
  readonly version: number;
  readonly manifest: Manifest;
}

/**
 * A request to a peer or the store that has not been answered yet. It is
 * abandoned at `expiresAtMs`.
 */
export type PendingSource =
  | {
    readonly kind: "peer";
    readonly peerId: string;
    readonly expiresAtMs: Millis;
  }
  | {
    readonly kind: "pointer" | "manifest" | "sections";
    readonly requestId: number;
    readonly expiresAtMs: Millis;
  };

/** Progress of fetching the highest known version. */
export interface FetchState {
  candidate: CandidateManifest | undefined;
  readonly triedPeerIds: Set<string>;
  /** Number of queried peers that had not advertised a newer version. */
  otherPeersQueried: number;
  pending: PendingSource | undefined;
  /** Whether this fetch has read `config/active`, which it does only once. */
  pointerRequested: boolean;
  /**
   * Whether this fetch no longer reads the store: a read failed, or the store
   * does not have the version.
   */
  storeExhausted: boolean;
}

/** Answers collected by a process that does not know any version yet. */
export interface StartupState {
  readonly queriedPeerIds: Set<string>;
  readonly answeredPeerIds: Set<string>;
  /** Time at which the first version became known. */
  firstVersionMs: Millis | undefined;
  nextQueryMs: Millis;
}

export interface WatchState {
  /** Whether this process has to watch `config/active`. */
  wanted: boolean;
  /** Id of the watch in progress. */
  activeId: number | undefined;
  /** Time at which a watch without a result is cancelled. */
  expiresAtMs: Millis;
  failures: number;
  nextStartMs: Millis;
}

/** A pending read of `config/active` that does not belong to a fetch. */
export interface PointerRead {
  readonly requestId: number;
  readonly expiresAtMs: Millis;
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
  /** Highest version advertised by each peer, if above the version in force. */
  readonly advertisedVersions: Map<string, number>;
  /** Newest value of `config/active` that was read from the store. */
  activePointer: ActivePointer | undefined;
  /** Store version of the object `config/active`; 0 before the first read. */
  pointerStoreVersion: number;
  fetch: FetchState | undefined;
  /** Versions that cannot be parsed, for example because of a newer schema. */
  readonly unreadableVersions: Set<number>;
  startup: StartupState | undefined;
  readonly watch: WatchState;
  pointerRead: PointerRead | undefined;
  pointerFailures: number;
  /** Earliest time of the next read of `config/active`. */
  nextPointerReadMs: Millis;
  /** Latest time at which this process or a peer checked the store. */
  storeCheckedMs: Millis;
  /** Random addition to the staleness limit, to spread the reads of routers. */
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
    advertisedVersions: new Map(),
    activePointer: undefined,
    pointerStoreVersion: 0,
    fetch: undefined,
    unreadableVersions: new Set(),
    startup: undefined,
    watch: {
      wanted: options.watchMode === "always" && options.role === "router",
      activeId: undefined,
      expiresAtMs: Number.POSITIVE_INFINITY,
      failures: 0,
      nextStartMs: Number.NEGATIVE_INFINITY,
    },
    pointerRead: undefined,
    pointerFailures: 0,
    nextPointerReadMs: Number.NEGATIVE_INFINITY,
    storeCheckedMs: Number.NEGATIVE_INFINITY,
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

/** Version in force; 0 if there is none yet and the process must not serve. */
export function versionInForce(state: ConfigSyncState): number {
  return state.snapshot.context.inForceVersion;
}

/** Highest version advertised by a peer or the store. */
export function highestKnownVersion(state: ConfigSyncState): number {
  const { inForceVersion, knownVersion } = state.snapshot.context;
  return Math.max(inForceVersion, knownVersion);
}

/** Whether a version is in force, so that the process may serve requests. */
export function hasVersionInForce(state: ConfigSyncState): boolean {
  return versionInForce(state) > 0;
}
