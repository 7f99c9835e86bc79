import { createHash } from "node:crypto";
import { EventEmitter } from "node:events";
import {
  type Bundle,
  type Clock,
  type ConfigSyncEffect,
  type ConfigSyncEvent,
  type ConfigSyncOptions,
  type ConfigSyncState,
  createConfigSyncState,
  highestKnownVersion,
  type Manifest,
  type MessageOf,
  type Millis,
  type ObjectStore,
  reduceConfigSync,
  type StoredObject,
  StoreError,
  versionInForce,
} from "@anvildeal/core";
import { EventQueue } from "../event_queue.js";
import type { PeerTransport } from "./peer_transport.js";
import type { SyncReporter } from "./sync_reporter.js";
import type { TimerHandle, Timers } from "./timers.js";

const TICK_INTERVAL_MS = 250;
/**
 * Limit of concurrent reads, so that the first read of a whole configuration
 * does not overload the store.
 */
const MAX_PARALLEL_READS = 8;
/**
 * A watch that has not returned this long after its timeout is aborted as
 * stalled.
 */
const WATCH_TIMEOUT_MARGIN_MS = 500;

/** The configuration version that is in force in this process. */
export interface ConfigInForce {
  readonly version: number;
  readonly manifest: Manifest;
  readonly bundle: Bundle;
}

export interface ConfigSyncHostEvents {
  /** A configuration version has come into force in this process. */
  configApplied: [ConfigInForce];
}

export interface ConfigSyncHostOptions {
  readonly role: ConfigSyncOptions["role"];
  /**
   * Which routers watch `config/active` in the store: only the elected ones
   * (`elected`) or all (`always`).
   */
  readonly watchMode: ConfigSyncOptions["watchMode"];
  readonly seed: number;
  readonly store: ObjectStore;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly timers: Timers;
  readonly reporter: SyncReporter;
  /**
   * Version of the instance list in this process. Like the configuration
   * version, it is compared with the versions of the peers.
   */
  readonly listVersion?: () => number;
}

type EventInput = ConfigSyncEvent extends infer E
  ? E extends ConfigSyncEvent ? Omit<E, "nowMs"> : never
  : never;
type EffectOf<T extends ConfigSyncEffect["type"]> = Extract<
  ConfigSyncEffect,
  { readonly type: T }
>;

type StoreResult<T> = { readonly ok: true; readonly value: T } | {
  readonly ok: false;
};

/**
 * Keeps a process on the newest accepted configuration. Executes the effects of
 * `reduceConfigSync` and emits `configApplied` for each version that comes into
 * force.
 */
export class ConfigSyncHost extends EventEmitter<ConfigSyncHostEvents> {
  readonly #options: ConfigSyncHostOptions;
  readonly #state: ConfigSyncState;
  readonly #watches = new Map<number, AbortController>();
  readonly #watchTimeouts = new Map<number, TimerHandle>();
  readonly #events = new EventQueue<EventInput, ConfigSyncEffect>({
    reduce: (input) => this.#reduce(input),
    runEffect: (effect) => this.#runEffect(effect),
    onFailure: (error, { type }, effect) =>
      this.#options.reporter.log(
        "error",
        `event ${type}, effect ${effect?.type}: ${String(error)}`,
      ),
  });
  #disposed = false;
  #tickTimer: TimerHandle | undefined;
  #configInForce: ConfigInForce | undefined;

  constructor(options: ConfigSyncHostOptions) {
    super();
    this.#options = options;
    this.#state = createConfigSyncState({
      role: options.role,
      watchMode: options.watchMode,
      seed: options.seed,
      digest: sha256Hex,
    });
  }

  /** Undefined before the first version; the process must not serve then. */
  get configInForce(): ConfigInForce | undefined {
    return this.#configInForce;
  }

  /** Configuration version in force; 0 if there is none yet. */
  get version(): number {
    return versionInForce(this.#state);
  }

  /** Highest configuration version that a peer or the store has reported. */
  get highestKnownVersion(): number {
    return highestKnownVersion(this.#state);
  }

  /** Starts configuration sync and queries the peers `seedPeerIds` at once. */
  start(seedPeerIds: readonly string[]): void {
    this.#dispatch({ type: "started", seedPeerIds });
    this.#scheduleTick();
  }

  handleMessage(
    peerId: string,
    message: MessageOf<"config_query"> | MessageOf<"config_state">,
  ): void {
    this.#dispatch({ type: "message_received", peerId, message });
  }

  /**
   * Records the configuration version of a peer, as reported in a message that
   * does not belong to configuration sync.
   */
  observePeerVersion(peerId: string, configVersion: number): void {
    this.#dispatch({ type: "peer_version_observed", peerId, configVersion });
  }

  /**
   * Sets whether this router is elected, among the routers of its failure
   * domain, to watch the configuration.
   */
  setElected(elected: boolean): void {
    this.#dispatch({ type: "election_changed", elected });
  }

  dispose(): void {
    this.#disposed = true;
    this.#tickTimer?.cancel();
    for (const watchId of this.#watches.keys()) {
      this.#stopWatch(watchId);
    }
    this.removeAllListeners();
  }

  #scheduleTick(): void {
    if (this.#disposed) {
      return;
    }
    this.#tickTimer = this.#options.timers.after(TICK_INTERVAL_MS, () => {
      this.#dispatch({
        type: "tick",
        peerIds: this.#options.transport.peers(),
        listVersion: this.#options.listVersion?.(),
      });
      this.#scheduleTick();
    });
  }

  #dispatch(input: EventInput): void {
    if (!this.#disposed) {
      this.#events.push(input);
    }
  }

  #reduce(input: EventInput): ConfigSyncEffect[] {
    const nowMs: Millis = this.#options.clock.nowMs();
    return reduceConfigSync(
      this.#state,
      { ...input, nowMs } as ConfigSyncEvent,
    );
  }

  #runEffect(effect: ConfigSyncEffect): void {
    const { reporter, transport } = this.#options;
    switch (effect.type) {
      case "send":
        transport.send(effect.peerId, effect.message);
        return;
      case "start_watch":
        void this.#watch(effect);
        return;
      case "stop_watch":
        this.#stopWatch(effect.watchId);
        return;
      case "read_objects":
        void this.#read(effect);
        return;
      case "apply": {
        const { version, manifest, bundle } = effect;
        this.#configInForce = { version, manifest, bundle };
        this.emit("configApplied", this.#configInForce);
        return;
      }
      case "log":
        reporter.log(effect.level, effect.text);
        return;
      case "count":
        reporter.count(`config_sync.${effect.counter}`, effect.amount);
        return;
    }
  }

  async #watch(effect: EffectOf<"start_watch">): Promise<void> {
    const { watchId, key, afterVersion, timeoutMs } = effect;
    const controller = new AbortController();
    this.#watches.set(watchId, controller);
    const abortAfterMs = timeoutMs + WATCH_TIMEOUT_MARGIN_MS;
    // An established connection can stall forever without an error.
    const timeout = this.#options.timers.after(abortAfterMs, () => {
      this.#stopWatch(watchId);
      this.#dispatch({ type: "watch_failed", watchId });
    });
    this.#watchTimeouts.set(watchId, timeout);
    const options = { afterVersion, timeoutMs, signal: controller.signal };
    const result = await this.#toResult(
      this.#options.store.watch(key, options),
    );
    if (controller.signal.aborted) {
      return;
    }
    this.#removeWatch(watchId);
    this.#dispatch(
      result.ok
        ? { type: "watch_returned", watchId, object: result.value }
        : { type: "watch_failed", watchId },
    );
  }

  #stopWatch(watchId: number): void {
    this.#watches.get(watchId)?.abort();
    this.#removeWatch(watchId);
  }

  #removeWatch(watchId: number): void {
    this.#watches.delete(watchId);
    this.#watchTimeouts.get(watchId)?.cancel();
    this.#watchTimeouts.delete(watchId);
  }

  async #read(effect: EffectOf<"read_objects">): Promise<void> {
    const { requestId, keys } = effect;
    const result = await this.#toResult(this.#readAll(keys));
    this.#dispatch(
      result.ok
        ? { type: "objects_read", requestId, objects: result.value }
        : { type: "read_failed", requestId },
    );
  }

  async #readAll(keys: readonly string[]): Promise<Map<string, StoredObject>> {
    const objects = new Map<string, StoredObject>();
    const pendingKeys = [...keys];
    const readNext = async (): Promise<void> => {
      for (
        let key = pendingKeys.shift();
        key !== undefined;
        key = pendingKeys.shift()
      ) {
        const object = await this.#options.store.get(key);
        if (object !== undefined) {
          objects.set(key, object);
        }
      }
    };
    const readers = Math.min(MAX_PARALLEL_READS, keys.length);
    await Promise.all(Array.from({ length: readers }, readNext));
    return objects;
  }

  /** Converts a rejection to a value, so that effects never reject. */
  async #toResult<T>(promise: Promise<T>): Promise<StoreResult<T>> {
    try {
      return { ok: true, value: await promise };
    } catch (error) {
      // A `StoreError` is expected; any other error is a programming error.
      if (!(error instanceof StoreError) && !this.#disposed) {
        this.#options.reporter.log(
          "error",
          `unexpected error of an object store call: ${String(error)}`,
        );
      }
      return { ok: false };
    }
  }
}

function sha256Hex(content: string): string {
  return createHash("sha256").update(content, "utf8").digest("hex");
}
