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
}

interface PendingRecord<R> {
  readonly record: R;
  readonly madeMs: Millis;
}

/**
 * Sends small records that all routers share: each change to all connected
 * routers, and everything to a router that connects, since it may have started
 * just now or missed changes. Records must merge in any order.
 */
export class SharedRecordExchange<R> implements Disposable {
  readonly #options: SharedRecordExchangeOptions<R>;
  readonly #pending = new Map<string, PendingRecord<R>>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: SharedRecordExchangeOptions<R>) {
    this.#options = options;
  }

  /** Sends records to all connected routers, in a batch. */
  share(records: readonly R[]): void {
    const { clock, keyOf } = this.#options;
    const madeMs = clock.nowMs();
    for (const record of records) {
      this.#pending.set(keyOf(record), { record, madeMs });
    }
    if (this.#pending.size > 0) {
      this.#timer ??= setTimeout(
        () => this.#sendPending(),
        Math.max(
          MIN_BATCH_DELAY_MS,
          BATCH_DELAY_PER_ROUTER_MS * this.#options.connectedCount(),
        ),
      );
    }
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

  #sendPending(): void {
    this.#timer = undefined;
    const { clock, olderBy } = this.#options;
    const nowMs = clock.nowMs();
    const records = [...this.#pending.values()].map(({ madeMs, record }) =>
      olderBy(record, nowMs - madeMs)
    );
    this.#pending.clear();
    for (let i = 0; i < records.length; i += MAX_BATCH_RECORDS) {
      this.#options.broadcast(records.slice(i, i + MAX_BATCH_RECORDS));
    }
  }
}
