import {
  type Clock,
  EXECUTION_RECORD_PREFIX,
  expiredRecords,
  type Millis,
  type ObjectStore,
  type StoredObject,
} from "@anvildeal/core";
import { CallPacer } from "./call_pacer.js";
import { TimerSet } from "./timer_set.js";

export interface ExecutionRecordSweeperOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  /** Number of records in one page of a list call. */
  readonly pageRecords?: number;
  /** Maximum rate of list and delete calls, per second. */
  readonly callsPerS?: number;
  /** Pause after the last page of a pass or after a failed list call. */
  readonly pauseMs?: Millis;
}

/** Totals since the sweeper was created. */
export interface SweepCounters {
  /** Pages that were listed. */
  readonly pages: number;
  readonly deleted: number;
  /** List and delete calls that failed; a later pass repeats them. */
  readonly failed: number;
}

/**
 * With this number of records a page stays below 5 MB when each record holds a
 * 64 KB answer in base64.
 */
const PAGE_RECORDS = 50;

/**
 * A low rate is sufficient: a pass may take hours, even at the fleet size
 * expected in two years, since sidecars delete most expired records themselves.
 */
const CALLS_PER_S = 5;

const PAUSE_MS: Millis = 60_000;

/**
 * Deletes expired execution records page by page at a limited rate.
 *
 * Two routers that both consider themselves elected are safe: each delete
 * applies only to the version that was listed.
 */
export class ExecutionRecordSweeper {
  readonly #store: ObjectStore;
  readonly #clock: Clock;
  readonly #pageRecords: number;
  readonly #pauseMs: Millis;
  readonly #pacer: CallPacer;
  readonly #timers = new TimerSet();
  readonly #counters = { pages: 0, deleted: 0, failed: 0 };
  #elected = false;
  #sweeping = false;
  #disposed = false;
  /** Key after which the next page starts. */
  #cursor = EXECUTION_RECORD_PREFIX;

  constructor(options: ExecutionRecordSweeperOptions) {
    this.#store = options.store;
    this.#clock = options.clock;
    this.#pageRecords = options.pageRecords ?? PAGE_RECORDS;
    this.#pauseMs = options.pauseMs ?? PAUSE_MS;
    const callsPerS = options.callsPerS ?? CALLS_PER_S;
    this.#pacer = new CallPacer(options.clock, callsPerS, 1);
  }

  get counters(): SweepCounters {
    return { ...this.#counters };
  }

  /** Starts or stops the sweep; only the elected router sweeps. */
  setElected(elected: boolean): void {
    this.#elected = elected;
    if (elected && !this.#sweeping && !this.#disposed) {
      this.#sweeping = true;
      this.#sweepPage();
    }
  }

  dispose(): void {
    this.#disposed = true;
    this.#pacer.dispose();
    this.#timers.dispose();
  }

  #sweepPage(): void {
    if (!this.#elected) {
      this.#sweeping = false;
      return;
    }
    this.#pacer.add(async () => {
      const page = await this.#list();
      if (this.#disposed) {
        return;
      }
      for (const { key, version } of this.#findExpired(page)) {
        this.#pacer.add(() => this.#delete(key, version));
      }
      this.#scheduleNextPage(page);
    });
  }

  /** Lists the next page; undefined when the call fails. */
  async #list(): Promise<StoredObject[] | undefined> {
    try {
      const page = await this.#store.list(EXECUTION_RECORD_PREFIX, {
        limit: this.#pageRecords,
        after: this.#cursor,
      });
      this.#counters.pages++;
      return page;
    } catch {
      this.#counters.failed++;
      return undefined;
    }
  }

  #findExpired(page: readonly StoredObject[] | undefined): StoredObject[] {
    return expiredRecords(page ?? [], this.#clock.wallMs());
  }

  #scheduleNextPage(page: readonly StoredObject[] | undefined): void {
    const last = page?.at(-1)?.key;
    if (last !== undefined && page?.length === this.#pageRecords) {
      this.#cursor = last;
      this.#sweepPage();
      return;
    }
    if (page !== undefined) {
      this.#cursor = EXECUTION_RECORD_PREFIX;
    }
    this.#timers.after(this.#pauseMs, () => this.#sweepPage());
  }

  async #delete(key: string, version: number): Promise<void> {
    if (!this.#elected) {
      return;
    }
    try {
      await this.#store.delete(key, version);
      this.#counters.deleted++;
    } catch {
      this.#counters.failed++;
    }
  }
}
