import {
  agedRecord,
  type Clock,
  type DirectEvent,
  type DirectoryPosition,
  type EndpointRecord,
  EndpointRecordSchema,
  isLaterPosition,
  laterPosition,
  type Message,
  type MessageOf,
  type Millis,
  UNKNOWN_POSITION,
} from "@anvildeal/core";
import type { Logger } from "../logging/index.js";
import type { Disposable } from "../net/index.js";
import type { CollectionWatcher, WatchedUpdate } from "./collection_watcher.js";

type DirectorySnapshot = NonNullable<MessageOf<"fleet_content">["directory"]>;

export interface EndpointSyncOptions {
  readonly watcher: CollectionWatcher<EndpointRecord>;
  /** Whether this router sends the changes that it reads to the others. */
  readonly isWatcher: () => boolean;
  readonly clock: Clock;
  readonly push: (event: DirectEvent) => void;
  /** Whether the directory is available and was not unavailable recently. */
  readonly isDirectoryReliable: () => boolean;
  readonly broadcast: (message: Message) => void;
  readonly logger: Logger;
}

/** An entry with the time of its receipt. */
interface ReceivedRecord {
  readonly record: EndpointRecord;
  readonly receivedMs: Millis;
}

/**
 * Keeps the list of endpoints up to date. A few routers send each change that
 * they read from the directory to the others.
 */
export class EndpointSync implements Disposable {
  readonly #options: EndpointSyncOptions;
  readonly #records = new Map<string, ReceivedRecord>();
  /** Position up to which the records are known. */
  #position = UNKNOWN_POSITION;
  /** Position of the last known change of a record. */
  #lastChange = UNKNOWN_POSITION;

  constructor(options: EndpointSyncOptions) {
    this.#options = options;
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

  /** Returns all known endpoints, for a router that is behind. */
  snapshot(): DirectorySnapshot {
    const { epoch, revision } = this.position;
    const nowMs = this.#options.clock.nowMs();
    return {
      directoryEpoch: epoch,
      revision,
      lastChange: this.#lastChange.revision,
      settled: this.#options.isDirectoryReliable(),
      endpoints: [...this.#records.values()].map(({ receivedMs, record }) =>
        agedRecord(record, nowMs - receivedMs)
      ),
    };
  }

  /** Applies a change that a watching router sent. */
  applyChange(nodeId: string, change: MessageOf<"fleet_change">): void {
    const known = this.position;
    // A watching router reads changes from the directory itself, and queries a
    // peer if it stays behind.
    if (
      this.#options.isWatcher() || this.isUninitialized ||
      change.directoryEpoch !== known.epoch ||
      change.afterRevision > known.revision ||
      change.revision <= known.revision
    ) {
      return;
    }
    const update = {
      ...change,
      epoch: change.directoryEpoch,
      ...this.#decode(nodeId, change.endpoints, change.removedIds),
    };
    this.#apply(update, `peer ${nodeId}`, false, change.settled);
    this.#options.watcher.advanceTo(update);
  }

  /** Applies a peer's list of endpoints if it is newer than the local one. */
  applySnapshot(nodeId: string, directory: DirectorySnapshot): void {
    const update = {
      ...directory,
      epoch: directory.directoryEpoch,
      ...this.#decode(nodeId, directory.endpoints, []),
    };
    if (!isLaterPosition(update, this.position)) {
      return;
    }
    this.#apply(update, `peer ${nodeId}`, true, directory.settled);
    this.#options.watcher.advanceTo(update);
    // The pending watch did not return these changes, so it may have stalled.
    this.#options.watcher.restart();
  }

  dispose(): void {
    this.#options.watcher.dispose();
  }

  /** A record that cannot be decoded names no endpoint to use. */
  #decode(
    nodeId: string,
    records: readonly unknown[],
    removedIds: readonly string[],
  ): { upserts: EndpointRecord[]; removed: string[] } {
    const upserts: EndpointRecord[] = [];
    const removed = [...removedIds];
    for (const record of records) {
      const decoded = EndpointRecordSchema.safeParse(record);
      if (decoded.success) {
        upserts.push(decoded.data);
        continue;
      }
      const id = idOf(record);
      removed.push(id);
      this.#options.logger.log("record_ignored", {
        collection: `peer ${nodeId}`,
        record: id,
        detail: decoded.error.issues[0]?.message,
      });
    }
    return { upserts, removed };
  }

  #handleUpdate(update: WatchedUpdate<EndpointRecord>): void {
    const { revision: afterRevision } = this.#position;
    if (isLaterPosition(this.#position, update)) {
      return;
    }
    this.#apply(update, "directory", update.isSnapshot);
    if (this.#options.isWatcher() && !update.isSnapshot) {
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
    const nowMs = this.#options.clock.nowMs();
    this.#position = { epoch, revision };
    this.#lastChange = laterPosition(this.#lastChange, {
      epoch,
      revision: update.lastChange,
    });
    if (isSnapshot) {
      this.#records.clear();
    }
    for (const record of update.upserts) {
      this.#records.set(record.id, { record, receivedMs: nowMs });
    }
    for (const id of update.removed) {
      this.#records.delete(id);
    }
    this.#options.push({
      type: "endpoints_changed",
      nowMs,
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

function idOf(record: unknown): string {
  const id = (record as { id?: unknown } | null | undefined)?.id;
  return typeof id === "string" ? id : "unknown";
}
