import {
  type Clock,
  isRecordExpired,
  type Millis,
  type ObjectStore,
} from "@anvildeal/core";
import { CallPacer } from "./call_pacer.js";
import { TimerSet } from "./timer_set.js";

/** A record of a finished call that this process wrote. */
export interface LocalRecord {
  readonly key: string;
  readonly version: number;
  readonly expiresAtMs: Millis;
}

export interface LocalRecordExpiryOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly checkIntervalMs?: Millis;
}

/**
 * Records beyond this number are left to the {@link RecordSweeper}; each takes
 * about 150 bytes of memory.
 */
const MAX_LOCAL_RECORDS = 20_000;

const CHECK_INTERVAL_MS: Millis = 60_000;

/**
 * Exceeds the rate of new records: a sidecar writes 0.02 records/s at the fleet
 * size expected in two years.
 */
const DELETES_PER_S = 1;

/**
 * Deletes the records that this process wrote when they expire, without reading
 * them first. Records whose delete fails are left to the {@link RecordSweeper}.
 */
export class LocalRecordExpiry {
  readonly #store: ObjectStore;
  readonly #clock: Clock;
  readonly #pacer: CallPacer;
  readonly #timers = new TimerSet();
  readonly #checkIntervalMs: Millis;
  /** Ordered by expiry, since all records are retained for the same time. */
  #records: LocalRecord[] = [];

  constructor(options: LocalRecordExpiryOptions) {
    this.#store = options.store;
    this.#clock = options.clock;
    this.#checkIntervalMs = options.checkIntervalMs ?? CHECK_INTERVAL_MS;
    this.#pacer = new CallPacer(options.clock, DELETES_PER_S, DELETES_PER_S);
    this.#scheduleCheck();
  }

  /** Schedules the deletion of a record, or ignores it when the limit is reached. */
  add(record: LocalRecord): void {
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
