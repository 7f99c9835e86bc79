import {
  type Clock,
  type DirectEvent,
  type DirectoryPosition,
  isLaterPosition,
  laterPosition,
  type Measurement,
  type Message,
  type MessageOf,
  type Millis,
  UNKNOWN_POSITION,
} from "@anvildeal/core";
import type { Logger } from "../logging/index.js";
import type { Disposable } from "../net/index.js";
import { AnswerTimer } from "./answer_timer.js";
import type { Collection } from "./collection.js";
import {
  CollectionWatcher,
  type WatchedUpdate,
  type WatchPace,
} from "./collection_watcher.js";
import { EvacuationDuty } from "./evacuation_duty.js";
import { StandbyWatch } from "./standby_watch.js";
import { confirmingWaitMs } from "./watch_duty.js";

/** Each call is charged, so a watch without a change waits long. */
const WATCH_WAIT_MS: Millis = 25_000;

/**
 * Wait of the first watch after a pause. A pending watch confirms nothing, and an
 * order that follows an unconfirmed time closes the domain without a ramp.
 */
const CONFIRMING_WAIT_MS: Millis = 200;

/** Changes within this time are read with one call. */
const BATCH_DELAY_MS: Millis = 200;

/**
 * A watch call after a failed one lasts at most for this fraction of the allowed
 * age of the directory, as those for other collections do.
 */
const CALL_AFTER_FAILURE_FRACTION = 0.7;

/**
 * The watch of the endpoints must be answered within this fraction of the bound.
 * An order must be noticed within a third of it, also if all connections are
 * silent; the rest is for the delay before the call and for a new connection.
 */
const OVERDUE_FRACTION = 0.28;

/** Minimum time after its wait within which that watch must be answered. */
const MIN_OVERDUE_MARGIN_MS: Millis = 60;

/** Minimum time between new connections for late answers; each costs two calls. */
const RENEWAL_INTERVAL_MS: Millis = 15_000;

/** Minimum time between two requests for the list of another router. */
const REQUEST_INTERVAL_MS: Millis = 300;

/** Messages of other routers are awaited all the time. */
const AWAITED_ALWAYS: Millis = Number.NEGATIVE_INFINITY;

/** Name of an item that has none. */
const UNNAMED = "unknown";

/** An order to evacuate a failure domain. */
export interface EvacuationRecord {
  readonly failureDomain: string;
  /** Whether the order is being deleted. */
  readonly isWithdrawn: boolean;
}

export interface EvacuationSyncOptions {
  readonly nodeId: string;
  /** Bound from an order on, after which no request may reach its domain. */
  readonly evacuateMs: Millis;
  readonly collection: Collection<EvacuationRecord>;
  /** Longest time for which the fleet may act on an outdated view. */
  readonly maxDirectoryAgeMs: Millis;
  /** Whether this router watches the directory for the others. */
  readonly isWatcher: () => boolean;
  readonly clock: Clock;
  readonly push: (event: DirectEvent) => void;
  readonly sendTo: (nodeId: string, message: Message) => void;
  /**
   * Returns the earliest time at which a message can have been sent that is
   * handled now, from the time since when it was awaited.
   */
  readonly earliestSentMs: (awaitedSinceMs: Millis) => Millis;
  /** Makes further calls of the collection use new connections. */
  readonly useNewConnections: () => void;
  /** Called with the epoch of each answer of the directory and of each newer list. */
  readonly observeEpoch: (epoch: number) => void;
  readonly observe: (measurement: Measurement) => void;
  readonly logger: Logger;
}

/**
 * Keeps the list of failure domains up to date that operators have ordered to
 * evacuate. A starting router lists it once. The routers that watch the directory
 * keep a long watch and send the list to the others; a list at a later position
 * replaces an earlier one. Failed calls do not make the directory count as
 * unavailable.
 *
 * A pending watch may be on a connection that has fallen silent. The only watching
 * router therefore keeps a second one, and watches again on a new connection if the
 * watch of the endpoints is not answered in time.
 */
export class EvacuationSync implements Disposable {
  readonly #options: EvacuationSyncOptions;
  readonly #watcher: CollectionWatcher<EvacuationRecord>;
  readonly #standby: StandbyWatch<EvacuationRecord>;
  readonly #duty: EvacuationDuty;
  readonly #endpointsTimer: AnswerTimer;
  #failureDomains: ReadonlySet<string> = new Set();
  /** Whether the list has been read or received. */
  #isKnown = false;
  /** Position up to which the list is known. */
  #position = UNKNOWN_POSITION;
  /** Position at which the list was last read as a whole or changed. */
  #lastChange = UNKNOWN_POSITION;
  /** When the list was last known to be up to date. */
  #confirmedMs: Millis = 0;
  /** Whether changes since the last answer show at once in the pending call. */
  #isWatchLive = false;
  #lastRequestMs: Millis = Number.NEGATIVE_INFINITY;
  #answeredMs: Millis = Number.NEGATIVE_INFINITY;
  #renewedMs: Millis = Number.NEGATIVE_INFINITY;

  constructor(options: EvacuationSyncOptions) {
    this.#options = options;
    this.#duty = new EvacuationDuty(options);
    this.#endpointsTimer = new AnswerTimer(
      overdueMs(options),
      () => this.#handleOverdue(),
    );
    this.#standby = this.#createStandby();
    this.#watcher = new CollectionWatcher(options.collection, Math.random);
    this.#setWait(WATCH_WAIT_MS);
    this.#watcher.onEpoch((epoch) => options.observeEpoch(epoch));
    this.#watcher.onUpdate((update) => this.#handleUpdate(update));
    this.#watcher.onAnswer(() => {
      this.#countCall("ok");
      this.#setWait(WATCH_WAIT_MS);
      this.#isWatchLive = this.#watcher.isFollowing;
      this.#confirm(this.#answeredMs);
      this.#answeredMs = options.clock.nowMs();
    });
    this.#watcher.onFailure(({ call, detail, label, waitedMs }) => {
      this.#countCall("failed");
      this.#isWatchLive = false;
      options.logger.log("directory_call_failed", {
        label,
        call,
        detail,
        waited_ms: waitedMs,
      });
    });
  }

  /** Position of the list, for the messages of this router. */
  get lastChange(): DirectoryPosition {
    return this.#lastChange;
  }

  /** Position of the list if this router's watch confirms it; undefined if not. */
  get confirmedPosition(): DirectoryPosition | undefined {
    return this.#watcher.isFollowing ? this.#lastChange : undefined;
  }

  /** Lists the orders, until that succeeds or another router sends them. */
  start(): void {
    this.#watcher.start();
  }

  /** Watches if this router watches for others. Must be called periodically. */
  tick(): void {
    this.#duty.tick();
    if (!this.#isKnown || this.#duty.watches) {
      if (!this.#watcher.isFollowing) {
        this.#setWait(CONFIRMING_WAIT_MS);
      }
      this.#watcher.resume();
    } else {
      this.#pause();
    }
    if (!this.#watcher.isFollowing || !this.#duty.isOnlyWatcher) {
      this.#standby.pause();
    } else if (this.#duty.watches) {
      this.#standby.resume();
    }
  }

  /** Records that a call for the endpoints was answered. */
  recordEndpointAnswer(): void {
    if (this.#options.isWatcher()) {
      this.#endpointsTimer.recordAnswer();
    } else {
      this.#endpointsTimer.stop();
    }
  }

  /** Watches on a new connection if a call for the endpoints got no answer. */
  recordEndpointFailure(waitedMs: Millis): void {
    this.#endpointsTimer.stop();
    const calledMs = this.#options.clock.nowMs() - waitedMs;
    if (
      waitedMs >= overdueMs(this.#options) && this.#duty.watches &&
      this.#answeredMs < calledMs
    ) {
      this.#watchAgain();
    }
  }

  /** Lists the orders again if the directory was restored from an older copy. */
  advanceToEpoch(epoch: number): void {
    this.#watcher.advanceToEpoch(epoch);
  }

  /**
   * Compares the list with that of a router which sent its position.
   *
   * @param isConfirmed Whether the other router watches the directory.
   */
  comparePosition(
    nodeId: string,
    position: DirectoryPosition | undefined,
    isConfirmed: boolean,
  ): void {
    if (!position) {
      return;
    }
    const isNew = this.#duty.recordPeer(nodeId);
    if (isConfirmed) {
      this.#duty.recordReport();
    }
    if (isLaterPosition(position, this.#knownPosition)) {
      this.#requestList(nodeId);
      return;
    }
    if (isConfirmed && this.#isKnown) {
      this.#confirm(AWAITED_ALWAYS);
    }
    // All routers know a change, so only those that watch send it again.
    if (
      isLaterPosition(this.#lastChange, position) &&
      (isNew || this.#duty.isInCharge)
    ) {
      this.#options.sendTo(nodeId, this.#message());
    }
  }

  /** Applies the list of another router, or sends it this one if that is newer. */
  receive(nodeId: string, list: MessageOf<"fleet_evacuations">): void {
    this.#duty.recordPeer(nodeId);
    if (isLaterPosition(this.#lastChange, list)) {
      this.#options.sendTo(nodeId, this.#message());
      return;
    }
    const position = { epoch: list.epoch, revision: list.revision };
    const isNewer = isLaterPosition(position, this.#knownPosition);
    this.#lastChange = position;
    if (!isNewer) {
      return;
    }
    // A watch that is pending in an earlier epoch may never return.
    this.#options.observeEpoch(position.epoch);
    this.#position = position;
    this.#watcher.advanceTo(position);
    this.#apply(new Set(list.failureDomains), `peer ${nodeId}`, this.#ageMs());
  }

  /** Forgets a router that is disconnected. */
  removePeer(nodeId: string): void {
    this.#duty.removePeer(nodeId);
  }

  dispose(): void {
    this.#endpointsTimer.dispose();
    this.#standby.dispose();
    this.#watcher.dispose();
  }

  get #knownPosition(): DirectoryPosition {
    return laterPosition(
      this.#position,
      this.#watcher.position ?? UNKNOWN_POSITION,
    );
  }

  #createStandby(): StandbyWatch<EvacuationRecord> {
    const { collection, observeEpoch, useNewConnections } = this.#options;
    return new StandbyWatch({
      collection,
      position: () => this.#watcher.position,
      onMissed: () => {
        useNewConnections();
        this.#watcher.restart();
      },
      onEpoch: observeEpoch,
      onUnchanged: () => this.#confirm(AWAITED_ALWAYS),
      onCall: (result) => this.#countCall(result),
    });
  }

  #handleOverdue(): void {
    const nowMs = this.#options.clock.nowMs();
    if (
      this.#duty.watches && this.#options.isWatcher() &&
      nowMs - this.#renewedMs >= RENEWAL_INTERVAL_MS
    ) {
      this.#renewedMs = nowMs;
      this.#watchAgain();
    }
  }

  /** Watches on a new connection, since the connections may have fallen silent. */
  #watchAgain(): void {
    this.#options.useNewConnections();
    this.#isWatchLive = false;
    this.#setWait(CONFIRMING_WAIT_MS);
    this.#watcher.restart();
  }

  #handleUpdate(update: WatchedUpdate<EvacuationRecord>): void {
    for (const { detail, name } of update.ignored) {
      this.#options.logger.log("record_ignored", {
        collection: this.#options.collection.label,
        record: name,
        detail,
      });
    }
    if (isLaterPosition(this.#position, update)) {
      return;
    }
    const { epoch, revision } = update;
    this.#position = { epoch, revision };
    // A deletion has no revision of its own in an update or a list, so the
    // position of the whole update counts.
    this.#lastChange = this.#position;
    const before = this.#failureDomains;
    const isLive = this.#isWatchLive && !update.isSnapshot;
    this.#apply(
      listAfter(update.isSnapshot ? new Set() : before, update),
      "directory",
      isLive ? this.#liveAgeMs() : this.#ageMs(),
    );
    if (this.#duty.isInCharge && !isEqual(before, this.#failureDomains)) {
      this.#broadcast();
    }
    if (!this.#duty.watches) {
      this.#pause();
    }
  }

  #apply(
    failureDomains: ReadonlySet<string>,
    source: string,
    maxAgeMs: Millis | undefined,
  ): void {
    if (this.#isKnown && isEqual(failureDomains, this.#failureDomains)) {
      return;
    }
    this.#isKnown = true;
    this.#failureDomains = failureDomains;
    this.#confirm(AWAITED_ALWAYS);
    this.#options.push({
      type: "evacuations_changed",
      nowMs: this.#options.clock.nowMs(),
      failureDomains: [...failureDomains],
      source,
      ...(maxAgeMs === undefined ? {} : { maxAgeMs }),
    });
  }

  /**
   * Records that the list was up to date when the message was sent that is handled
   * now. A process that was held up handles messages late.
   */
  #confirm(awaitedSinceMs: Millis): void {
    this.#confirmedMs = Math.max(
      this.#confirmedMs,
      this.#options.earliestSentMs(awaitedSinceMs),
    );
  }

  /** Longest time since a change that the pending watch returned. */
  #liveAgeMs(): Millis {
    const { clock, earliestSentMs } = this.#options;
    return clock.nowMs() - earliestSentMs(this.#answeredMs);
  }

  /** Longest time since a change; undefined if no list was known before. */
  #ageMs(): Millis | undefined {
    return this.#isKnown
      ? this.#options.clock.nowMs() - this.#confirmedMs
      : undefined;
  }

  #setWait(waitMs: Millis): void {
    this.#watcher.setPace(paceOf(this.#options.maxDirectoryAgeMs, waitMs));
  }

  #pause(): void {
    this.#watcher.pause();
    this.#isWatchLive = false;
  }

  #requestList(nodeId: string): void {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs - this.#lastRequestMs >= REQUEST_INTERVAL_MS) {
      this.#lastRequestMs = nowMs;
      this.#options.sendTo(nodeId, this.#message());
    }
  }

  #broadcast(): void {
    for (const nodeId of this.#duty.peers) {
      this.#options.sendTo(nodeId, this.#message());
    }
  }

  #message(): Message {
    return {
      type: "fleet_evacuations",
      ...this.#lastChange,
      failureDomains: [...this.#failureDomains],
    };
  }

  #countCall(result: string): void {
    this.#options.observe({
      metric: "directory_calls_total",
      value: 1,
      labels: { kind: this.#options.collection.label, result },
    });
  }
}

/** Time after a call for the endpoints within which the next must be answered. */
function overdueMs(
  { evacuateMs, maxDirectoryAgeMs }: EvacuationSyncOptions,
): Millis {
  return Math.max(
    evacuateMs * OVERDUE_FRACTION,
    confirmingWaitMs(maxDirectoryAgeMs) + MIN_OVERDUE_MARGIN_MS,
  );
}

function paceOf(maxDirectoryAgeMs: Millis, waitMs: Millis): WatchPace {
  return {
    waitMs,
    batchDelayMs: BATCH_DELAY_MS,
    maxCallAfterFailureMs: Math.round(
      maxDirectoryAgeMs * CALL_AFTER_FAILURE_FRACTION,
    ),
  };
}

/** The name of an object is the order, also if the object cannot be decoded. */
function listAfter(
  before: ReadonlySet<string>,
  { ignored, removed, upserts }: WatchedUpdate<EvacuationRecord>,
): ReadonlySet<string> {
  const after = new Set(before);
  removed.forEach((name) => after.delete(name));
  for (const { isDeleted, name } of ignored) {
    if (name !== UNNAMED && !isDeleted) {
      after.add(name);
    }
  }
  for (const { failureDomain, isWithdrawn } of upserts) {
    if (isWithdrawn) {
      after.delete(failureDomain);
    } else {
      after.add(failureDomain);
    }
  }
  return after;
}

function isEqual(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  return a.size === b.size && [...a].every((name) => b.has(name));
}
