import {
  type Clock,
  isRecordExpired,
  type Millis,
  type ObjectStore,
} from "@anvildeal/core";
import { CallPacer } from "./call_pacer.js";
import { TimerSet } from "./timer_set.js";

/** Execution record of a finished call, written by this process. */
export interface LocalExecutionRecord {
  readonly key: string;
  readonly version: number;
  readonly expiresAtMs: Millis;
}

export interface LocalExecutionRecordExpiryOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly checkIntervalMs?: Millis;
}

/**
 * Maximum number of records that wait here for their expiry; the {@link
 * ExecutionRecordSweeper} deletes all others. Each record takes about 150 bytes
 * of memory.
 */
const MAX_LOCAL_RECORDS = 20_000;

const CHECK_INTERVAL_MS: Millis = 60_000;

/**
 * Deletes are faster than new records are written: a sidecar writes 0.02
 * records/s at the fleet size expected in two years.
 */
const DELETES_PER_S = 1;

/**
 * Deletes each execution record that this process wrote after the record has
 * expired, without reading it first. Records whose delete call fails are left
 * to the {@link ExecutionRecordSweeper}.
 */
export class LocalExecutionRecordExpiry {
  readonly #store: ObjectStore;
  readonly #clock: Clock;
  readonly #pacer: CallPacer;
  readonly #timers = new TimerSet();
  readonly #checkIntervalMs: Millis;
  /** Ordered by expiry, since all records are retained for the same time. */
  #records: LocalExecutionRecord[] = [];

  constructor(options: LocalExecutionRecordExpiryOptions) {
    this.#store = options.store;
    this.#clock = options.clock;
    this.#checkIntervalMs = options.checkIntervalMs ?? CHECK_INTERVAL_MS;
    this.#pacer = new CallPacer(options.clock, DELETES_PER_S, DELETES_PER_S);
    this.#scheduleCheck();
  }

  /** Schedules the deletion of a record, or ignores it when the limit is reached. */
  add(record: LocalExecutionRecord): void {
    if (this.#records.length < MAX_LOCAL_RECORDS) {
      this.#records.push(record);
    }
  }

  dispose(): void {
    this.#pacer.dispose();
    this.#timers.dispose();
  }

  #scheduleCheck(): void {
    this.#timers.after(this.#checkIntervalMs, () => {
      this.#deleteExpired();
      this.#scheduleCheck();
    });
  }

  #deleteExpired(): void {
    const wallMs = this.#clock.wallMs();
    const firstKept = this.#records.findIndex(
      ({ expiresAtMs }) => !isRecordExpired(expiresAtMs, wallMs),
    );
    const count = firstKept < 0 ? this.#records.length : firstKept;
    const expired = this.#records.splice(0, count);
    for (const { key, version } of expired) {
      this.#pacer.add(() => this.#store.delete(key, version).catch(() => {}));
    }
  }
}
