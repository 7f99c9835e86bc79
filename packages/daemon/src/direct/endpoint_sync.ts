import {
  type Clock,
  type DirectEvent,
  type DirectoryPosition,
  DirectoryWatcherElection,
  type EndpointRecord,
  isLaterPosition,
  laterPosition,
  type Message,
  type MessageOf,
  UNKNOWN_POSITION,
} from "@anvildeal/core";
import type { Logger } from "../logging/index.js";
import type { Disposable } from "../net/index.js";
import {
  type CollectionWatcher,
  LOCAL_WATCH_PACE,
  type WatchedUpdate,
  type WatchPace,
} from "./collection_watcher.js";

/**
 * Pace while other routers rely on this one. The wait is short because a stalled
 * connection to the directory is detected only after it. The delay is longer
 * than for a single router, since several watchers read each group of changes.
 */
const SHARED_WATCH_PACE: WatchPace = { waitMs: 2000, batchDelayMs: 500 };

type DirectorySnapshot = NonNullable<MessageOf<"fleet_content">["directory"]>;

export interface EndpointSyncOptions {
  readonly nodeId: string;
  readonly watcher: CollectionWatcher<EndpointRecord>;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly push: (event: DirectEvent) => void;
  /** Whether the directory is available and was not unavailable recently. */
  readonly isDirectoryReliable: () => boolean;
  readonly broadcast: (message: Message) => void;
  /** Called when this router stops watching because enough others watch. */
  readonly onWatchPaused: () => void;
}

/**
 * Keeps the list of endpoints up to date. In a large fleet a few routers watch
 * the directory and send each change to the others.
 */
export class EndpointSync implements Disposable {
  readonly #options: EndpointSyncOptions;
  readonly #election: DirectoryWatcherElection;
  readonly #records = new Map<string, EndpointRecord>();
  #watching = true;
  /** Whether only some routers of the fleet watch the directory. */
  #isWatchShared = false;
  /** Position up to which the records are known. */
  #position = UNKNOWN_POSITION;
  /** Position of the last known change of a record. */
  #lastChange = UNKNOWN_POSITION;

  constructor(options: EndpointSyncOptions) {
    this.#options = options;
    this.#election = new DirectoryWatcherElection(options.nodeId);
    options.watcher.onUpdate((update) => this.#handleUpdate(update));
  }

  /** Position of the last known change. */
  get lastChange(): DirectoryPosition {
    return this.#lastChange;
  }

  /** Whether no list of endpoints is known yet. */
  get isUninitialized(): boolean {
    return this.#position === UNKNOWN_POSITION;
  }

  /** Position up to which the endpoints are known. */
  get position(): DirectoryPosition {
    return this.isUninitialized ? UNKNOWN_POSITION : laterPosition(
      this.#position,
      this.#options.watcher.position ?? UNKNOWN_POSITION,
    );
  }

  start(): void {
    this.#options.watcher.start();
  }

  /**
   * Decides whether this router watches the directory, and announces it to the
   * others. Must be called periodically.
   *
   * @param routerCount Routers of the fleet, this one included.
   */
  tick(routerCount: number): void {
    const { broadcast, clock, logger, onWatchPaused, watcher } = this.#options;
    const shared = this.#election.isShared(routerCount);
    if (shared !== this.#isWatchShared) {
      this.#isWatchShared = shared;
      watcher.setPace(shared ? SHARED_WATCH_PACE : LOCAL_WATCH_PACE);
    }
    const watching = this.#election.decide(routerCount, clock.nowMs());
    if (watching !== this.#watching) {
      this.#watching = watching;
      logger.log("watch_duty_changed", { watching, routers: routerCount });
      if (watching) {
        watcher.resume();
      } else {
        watcher.pause();
        onWatchPaused();
      }
    }
    if (shared && watcher.isFollowing) {
      broadcast({
        type: "fleet_watching",
        directoryRevision: this.#lastChange.revision,
        directoryEpoch: this.#lastChange.epoch,
      });
    }
  }

  /** Records that another router watches the directory and gets answers. */
  recordWatcher(nodeId: string): void {
    this.#election.recordWatcher(nodeId, this.#options.clock.nowMs());
  }

  /** Records that a router is disconnected. */
  removeWatcher(nodeId: string): void {
    this.#election.removeWatcher(nodeId);
  }

  /** Returns all known endpoints, for a router that is behind. */
  snapshot(): DirectorySnapshot {
    const { epoch, revision } = this.position;
    return {
      directoryEpoch: epoch,
      revision,
      lastChange: this.#lastChange.revision,
      settled: this.#options.isDirectoryReliable(),
      endpoints: [...this.#records.values()],
    };
  }

  /** Applies a change that a watching router sent. */
  applyChange(nodeId: string, change: MessageOf<"fleet_change">): void {
    const known = this.position;
    // A watching router reads changes from the directory itself, and queries a
    // peer if it stays behind.
    if (
      this.#watching || this.isUninitialized ||
      change.directoryEpoch !== known.epoch ||
      change.afterRevision > known.revision ||
      change.revision <= known.revision
    ) {
      return;
    }
    const update = {
      ...change,
      epoch: change.directoryEpoch,
      upserts: change.endpoints,
      removed: change.removedIds,
    };
    this.#apply(update, `peer ${nodeId}`, false, change.settled);
    this.#options.watcher.advanceTo(update);
  }

  /** Applies a peer's list of endpoints if it is newer than the local one. */
  applySnapshot(nodeId: string, directory: DirectorySnapshot): void {
    const update = {
      ...directory,
      epoch: directory.directoryEpoch,
      upserts: directory.endpoints,
      removed: [],
    };
    if (!isLaterPosition(update, this.position)) {
      return;
    }
    this.#apply(update, `peer ${nodeId}`, true, directory.settled);
    this.#options.watcher.advanceTo(update);
  }

  dispose(): void {
    this.#options.watcher.dispose();
  }

  #handleUpdate(update: WatchedUpdate<EndpointRecord>): void {
    const { revision: afterRevision } = this.#position;
    if (isLaterPosition(this.#position, update)) {
      return;
    }
    this.#apply(update, "directory", update.isSnapshot);
    if (this.#isWatchShared && !update.isSnapshot) {
      this.#options.broadcast({
        type: "fleet_change",
        directoryEpoch: update.epoch,
        afterRevision,
        revision: update.revision,
        lastChange: this.#lastChange.revision,
        settled: this.#options.isDirectoryReliable(),
        endpoints: [...update.upserts],
        removedIds: [...update.removed],
      });
    }
  }

  #apply(
    update: Pick<
      WatchedUpdate<EndpointRecord>,
      "epoch" | "lastChange" | "removed" | "revision" | "upserts"
    >,
    source: string,
    isSnapshot: boolean,
    directoryReliable?: boolean,
  ): void {
    const { epoch, revision } = update;
    this.#position = { epoch, revision };
    this.#lastChange = laterPosition(this.#lastChange, {
      epoch,
      revision: update.lastChange,
    });
    if (isSnapshot) {
      this.#records.clear();
    }
    for (const record of update.upserts) {
      this.#records.set(record.id, record);
    }
    for (const id of update.removed) {
      this.#records.delete(id);
    }
    this.#options.push({
      type: "endpoints_changed",
      nowMs: this.#options.clock.nowMs(),
      change: {
        upserts: update.upserts,
        removedIds: update.removed,
        isSnapshot: isSnapshot,
      },
      source,
      ...(directoryReliable === undefined ? {} : { directoryReliable }),
    });
  }
}
