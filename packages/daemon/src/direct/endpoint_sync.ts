import {
  type Clock,
  type DirectEvent,
  DirectoryWatcherElection,
  type EndpointRecord,
  type Message,
  type MessageOf,
  type Millis,
} from "@anvildeal/core";
import type { Logger } from "../logging/index.js";
import type { Disposable } from "../net/index.js";
import {
  type CollectionWatcher,
  MAX_WATCH_WAIT_MS,
  type WatchedUpdate,
} from "./collection_watcher.js";

/**
 * Wait of a watch call while other routers rely on this one. It is short because
 * a stalled connection to the directory is detected only after the wait.
 */
const SHARED_WATCH_WAIT_MS: Millis = 2000;

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
  /** Revision up to which the records are known; 0 before the first update. */
  #revision = 0;
  #lastChange = 0;

  constructor(options: EndpointSyncOptions) {
    this.#options = options;
    this.#election = new DirectoryWatcherElection(options.nodeId);
    options.watcher.onUpdate((update) => this.#handleUpdate(update));
  }

  /** Revision of the last known change; 0 if there is none. */
  get lastChange(): number {
    return this.#lastChange;
  }

  /** Revision up to which the endpoints are known; 0 before the first update. */
  get revision(): number {
    return this.#revision === 0
      ? 0
      : Math.max(this.#revision, this.#options.watcher.revision ?? 0);
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
      watcher.setWatchWait(shared ? SHARED_WATCH_WAIT_MS : MAX_WATCH_WAIT_MS);
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
        directoryRevision: this.#lastChange,
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
    return {
      revision: this.revision,
      lastChange: this.#lastChange,
      settled: this.#options.isDirectoryReliable(),
      endpoints: [...this.#records.values()],
    };
  }

  /** Applies a change that a watching router sent. */
  applyChange(nodeId: string, change: MessageOf<"fleet_change">): void {
    const knownRevision = this.revision;
    // A watching router reads changes from the directory itself, and queries a
    // peer if it stays behind.
    if (
      this.#watching || change.afterRevision > knownRevision ||
      change.revision <= knownRevision || knownRevision === 0
    ) {
      return;
    }
    this.#apply(
      { ...change, upserts: change.endpoints, removed: change.removedIds },
      `peer ${nodeId}`,
      false,
      change.settled,
    );
    this.#options.watcher.advanceTo(change.revision);
  }

  /** Applies a peer's list of endpoints if it is newer than the local one. */
  applySnapshot(nodeId: string, directory: DirectorySnapshot): void {
    if (directory.revision <= this.revision) {
      return;
    }
    this.#apply(
      { ...directory, upserts: directory.endpoints, removed: [] },
      `peer ${nodeId}`,
      true,
      directory.settled,
    );
    this.#options.watcher.advanceTo(directory.revision);
  }

  dispose(): void {
    this.#options.watcher.dispose();
  }

  #handleUpdate(update: WatchedUpdate<EndpointRecord>): void {
    const afterRevision = this.#revision;
    if (update.revision < afterRevision) {
      return;
    }
    this.#apply(update, "directory", update.isSnapshot);
    if (this.#isWatchShared && !update.isSnapshot) {
      this.#options.broadcast({
        type: "fleet_change",
        afterRevision,
        revision: update.revision,
        lastChange: this.#lastChange,
        settled: this.#options.isDirectoryReliable(),
        endpoints: [...update.upserts],
        removedIds: [...update.removed],
      });
    }
  }

  #apply(
    update: Pick<
      WatchedUpdate<EndpointRecord>,
      "lastChange" | "removed" | "revision" | "upserts"
    >,
    source: string,
    isSnapshot: boolean,
    directoryReliable?: boolean,
  ): void {
    this.#revision = update.revision;
    this.#lastChange = Math.max(this.#lastChange, update.lastChange);
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
