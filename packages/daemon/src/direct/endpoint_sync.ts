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
  LONG_WATCH_MS,
  type WatchedUpdate,
} from "./collection_watcher.js";

/**
 * Wait of a watch call on which other routers rely. A connection to the
 * directory that went silent is found out after the wait.
 */
const SHARED_WATCH_MS: Millis = 2000;

type ToldDirectory = NonNullable<MessageOf<"fleet_content">["directory"]>;

export interface EndpointSyncOptions {
  readonly nodeId: string;
  readonly watcher: CollectionWatcher<EndpointRecord>;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly push: (event: DirectEvent) => void;
  /** The directory answers this router, and has for a while. */
  readonly isSettled: () => boolean;
  readonly broadcast: (message: Message) => void;
  /** Called when this router stops to call the directory by its own choice. */
  readonly onRest: () => void;
}

/**
 * Keeps the list of endpoints. In a large fleet a few routers watch the
 * directory and tell the others each change.
 */
export class EndpointSync implements Disposable {
  readonly #options: EndpointSyncOptions;
  readonly #duty: DirectoryWatcherElection;
  readonly #records = new Map<string, EndpointRecord>();
  #watching = true;
  #shared = false;
  /** Revision up to which the records are known; 0 while none are. */
  #revision = 0;
  #lastChange = 0;

  constructor(options: EndpointSyncOptions) {
    this.#options = options;
    this.#duty = new DirectoryWatcherElection(options.nodeId);
    options.watcher.onUpdate((update) => this.#receive(update));
  }

  /** Revision of the last change that is known; 0 while there is none. */
  get lastChange(): number {
    return this.#lastChange;
  }

  /** Revision up to which the endpoints are known; 0 while they are not. */
  get revision(): number {
    return this.#revision === 0
      ? 0
      : Math.max(this.#revision, this.#options.watcher.revision ?? 0);
  }

  start(): void {
    this.#options.watcher.start();
  }

  /** Decides who watches, and tells the others if it is this router. */
  tick(routerCount: number): void {
    const { broadcast, clock, logger, onRest, watcher } = this.#options;
    const shared = this.#duty.isShared(routerCount);
    if (shared !== this.#shared) {
      this.#shared = shared;
      watcher.setWait(shared ? SHARED_WATCH_MS : LONG_WATCH_MS);
    }
    const watching = this.#duty.decide(routerCount, clock.nowMs());
    if (watching !== this.#watching) {
      this.#watching = watching;
      logger.log("watch_duty_changed", { watching, routers: routerCount });
      if (watching) {
        watcher.resume();
      } else {
        watcher.pause();
        onRest();
      }
    }
    if (shared && watcher.following) {
      broadcast({
        type: "fleet_watching",
        directoryRevision: this.#lastChange,
      });
    }
  }

  noteWatcher(nodeId: string): void {
    this.#duty.recordWatcher(nodeId, this.#options.clock.nowMs());
  }

  forgetWatcher(nodeId: string): void {
    this.#duty.removeWatcher(nodeId);
  }

  /** All endpoints, for a router that knows less. */
  content(): ToldDirectory {
    return {
      revision: this.revision,
      lastChange: this.#lastChange,
      settled: this.#options.isSettled(),
      endpoints: [...this.#records.values()],
    };
  }

  /** Takes over a change that a watching router tells. */
  takeChange(nodeId: string, change: MessageOf<"fleet_change">): void {
    const known = this.revision;
    // A watching router reads changes itself; it asks when it stays behind.
    if (
      this.#watching || change.afterRevision > known ||
      change.revision <= known || known === 0
    ) {
      return;
    }
    this.#apply(
      { ...change, upserts: change.endpoints, removed: change.removedIds },
      `peer ${nodeId}`,
      false,
      change.settled,
    );
    this.#options.watcher.advance(change.revision);
  }

  /** Takes over the list of a router that knows more. */
  takeContent(nodeId: string, directory: ToldDirectory): void {
    if (directory.revision <= this.revision) {
      return;
    }
    this.#apply(
      { ...directory, upserts: directory.endpoints, removed: [] },
      `peer ${nodeId}`,
      true,
      directory.settled,
    );
    this.#options.watcher.advance(directory.revision);
  }

  dispose(): void {
    this.#options.watcher.dispose();
  }

  #receive(update: WatchedUpdate<EndpointRecord>): void {
    const afterRevision = this.#revision;
    if (update.revision < afterRevision) {
      return;
    }
    this.#apply(update, "directory", update.whole);
    if (this.#shared && !update.whole) {
      this.#options.broadcast({
        type: "fleet_change",
        afterRevision,
        revision: update.revision,
        lastChange: this.#lastChange,
        settled: this.#options.isSettled(),
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
    whole: boolean,
    settled?: boolean,
  ): void {
    this.#revision = update.revision;
    this.#lastChange = Math.max(this.#lastChange, update.lastChange);
    if (whole) {
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
        isSnapshot: whole,
      },
      source,
      ...(settled === undefined ? {} : { settled }),
    });
  }
}
