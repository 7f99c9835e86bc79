import type { Clock, Millis } from "@anvildeal/core";
import type { Disposable } from "../net/index.js";

/** Minimum time for which records are collected into one message. */
const MIN_BATCH_DELAY_MS: Millis = 10;

/** Further time for each connected router, so that the traffic is bounded. */
const BATCH_DELAY_PER_ROUTER_MS: Millis = 2;

/** Maximum number of records in one message. */
const MAX_BATCH_RECORDS = 64;

export interface SharedRecordExchangeOptions<R> {
  readonly clock: Clock;
  /** Records with the same key replace each other. */
  readonly keyOf: (record: R) => string;
  /** Returns a record as it is some time after it was made. */
  readonly olderBy: (record: R, elapsedMs: Millis) => R;
  /** All records that this router knows, as they are now. */
  readonly all: () => readonly R[];
  readonly connectedCount: () => number;
  readonly broadcast: (records: readonly R[]) => void;
  readonly sendTo: (nodeId: string, records: readonly R[]) => void;
  /** Routers to which records of another router are passed on. */
  readonly relayTargets: () => readonly string[];
}

interface PendingRecord<R> {
  readonly record: R;
  readonly madeMs: Millis;
  /** Whether this router made the record, so that no other one has sent it. */
  readonly isOwn: boolean;
}

/**
 * Sends small records that all routers share: each own change to all connected
 * routers, those of other routers to the relay targets, and everything to a router
 * that connects, since it may have started just now or missed changes. Records
 * must merge in any order.
 */
export class SharedRecordExchange<R> implements Disposable {
  readonly #options: SharedRecordExchangeOptions<R>;
  readonly #pending = new Map<string, PendingRecord<R>>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: SharedRecordExchangeOptions<R>) {
    this.#options = options;
  }

  /** Sends own records to all connected routers, in a batch. */
  share(records: readonly R[]): void {
    this.#enqueue(records, true);
  }

  /** Passes on records of another router, which has sent them as well. */
  relay(records: readonly R[]): void {
    this.#enqueue(records, false);
  }

  /**
   * Sends all records to a router that connected, also if there are none: the
   * router then knows that it has missed nothing.
   */
  handleConnect(nodeId: string): void {
    this.#options.sendTo(nodeId, this.#options.all());
  }

  dispose(): void {
    clearTimeout(this.#timer);
  }

  #enqueue(records: readonly R[], isOwn: boolean): void {
    const { clock, connectedCount, keyOf } = this.#options;
    const madeMs = clock.nowMs();
    for (const record of records) {
      const key = keyOf(record);
      this.#pending.set(key, {
        record,
        madeMs,
        isOwn: isOwn || this.#pending.get(key)?.isOwn === true,
      });
    }
    if (this.#pending.size > 0) {
      this.#timer ??= setTimeout(
        () => this.#sendPending(),
        Math.max(
          MIN_BATCH_DELAY_MS,
          BATCH_DELAY_PER_ROUTER_MS * connectedCount(),
        ),
      );
    }
  }

  #sendPending(): void {
    this.#timer = undefined;
    const { broadcast, relayTargets, sendTo } = this.#options;
    const own = this.#pendingRecords(true);
    const relayed = this.#pendingRecords(false);
    this.#pending.clear();
    inBatches(own, broadcast);
    if (relayed.length > 0) {
      for (const nodeId of relayTargets()) {
        inBatches(relayed, (records) => sendTo(nodeId, records));
      }
    }
  }

  /** Pending records that this router made, or all others, as they are now. */
  #pendingRecords(isOwn: boolean): R[] {
    const { clock, olderBy } = this.#options;
    const nowMs = clock.nowMs();
    return [...this.#pending.values()]
      .filter((pending) => pending.isOwn === isOwn)
      .map(({ madeMs, record }) => olderBy(record, nowMs - madeMs));
  }
}

function inBatches<R>(
  records: readonly R[],
  send: (batch: readonly R[]) => void,
): void {
  for (let i = 0; i < records.length; i += MAX_BATCH_RECORDS) {
    send(records.slice(i, i + MAX_BATCH_RECORDS));
  }
}
