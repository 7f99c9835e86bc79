import type { Clock, Millis, StreamRecord } from "@anvildeal/core";
import type { Disposable } from "../net/index.js";

/**
 * Time within which the writer confirms records, and time that is added for each
 * connected router, since many that start at once are slow.
 */
const CONFIRMATION_MS: Millis = 300;
const CONFIRMATION_PER_ROUTER_MS: Millis = 10;

/**
 * Minimum time between the begins of two writes. It doubles with each further
 * write that fails or has no answer, but for the first: that one's connection may
 * have fallen silent.
 */
const WRITE_INTERVAL_MS: Millis = 400;
const MAX_DOUBLINGS = 5;

/** Delay after which a directory that was failing may be back. */
const RECHECK_MS: Millis = 100;

/** Records stay in the document for this time; nearly all streams end within it. */
const RETENTION_MS: Millis = 20_000;

/** Maximum number of records that wait or are in the document. */
const MAX_RECORDS = 5000;

interface TimedRecord {
  readonly record: StreamRecord;
  readonly sinceMs: Millis;
}

/** Writes in flight at the same time replace different documents. */
const DOCUMENT_COUNT = 2;

export interface OwnStreamRecordsOptions {
  readonly clock: Clock;
  readonly connectedCount: () => number;
  /** Whether other calls have just failed; nothing is written meanwhile. */
  readonly isDirectoryFailing: () => boolean;
  /** Replaces one of this router's own documents; rejects if that fails. */
  readonly write: (
    documentIndex: number,
    records: readonly StreamRecord[],
  ) => Promise<void>;
  readonly onFailure: (error: unknown) => void;
  /**
   * Called when records that were not confirmed are written.
   *
   * @param unsuccessful Number of writes in a row without success before.
   */
  readonly onUnconfirmed: (
    records: number,
    oldestMs: Millis,
    unsuccessful: number,
  ) => void;
}

/**
 * Records of streams that began at this router, until it is known that they are
 * stored. What the writer of the fleet does not confirm in time, this router
 * writes itself: the writer may have ended or be paused, and a connection to it
 * or to the directory may have fallen silent.
 */
export class OwnStreamRecords implements Disposable {
  readonly #options: OwnStreamRecordsOptions;
  readonly #unstored = new Map<string, TimedRecord>();
  /** Records that this router has written itself. */
  readonly #written = new Map<string, TimedRecord>();
  #lastWriteMs: Millis = Number.NEGATIVE_INFINITY;
  /** No write before this time, since the directory was failing. */
  #heldBackUntilMs: Millis = Number.NEGATIVE_INFINITY;
  #writeCount = 0;
  /** Number of writes in a row that have not succeeded so far. */
  #unsuccessfulCount = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: OwnStreamRecordsOptions) {
    this.#options = options;
  }

  add(records: readonly StreamRecord[]): void {
    const nowMs = this.#options.clock.nowMs();
    for (const record of records) {
      const sinceMs = this.#unstored.get(record.callId)?.sinceMs ?? nowMs;
      this.#unstored.set(record.callId, { record, sinceMs });
    }
    removeOldest(this.#unstored);
    this.#schedule();
  }

  /** The directory has the records of these calls. */
  confirm(callIds: Iterable<string>): void {
    for (const callId of callIds) {
      this.#unstored.delete(callId);
    }
  }

  /** The directory answered a call, so that a further write is worth a try. */
  handleDirectoryAnswer(): void {
    if (this.#unsuccessfulCount > 1) {
      this.#unsuccessfulCount = 1;
      this.#schedule();
    }
  }

  dispose(): void {
    this.#unstored.clear();
    clearTimeout(this.#timer);
  }

  /** Call it whenever the time of the next write may have changed. */
  #schedule(): void {
    clearTimeout(this.#timer);
    const dueMs = this.#dueMs();
    if (dueMs === undefined) {
      return;
    }
    this.#timer = setTimeout(() => {
      this.#writeIfDue();
      this.#schedule();
    }, Math.max(0, dueMs - this.#options.clock.nowMs()));
  }

  /** Time of the next write; undefined if no record waits. */
  #dueMs(): Millis | undefined {
    const [oldest] = this.#unstored.values();
    const doublings = Math.min(
      MAX_DOUBLINGS,
      Math.max(0, this.#unsuccessfulCount - 1),
    );
    return oldest && Math.max(
      oldest.sinceMs + CONFIRMATION_MS +
        CONFIRMATION_PER_ROUTER_MS * this.#options.connectedCount(),
      this.#lastWriteMs + WRITE_INTERVAL_MS * 2 ** doublings,
      this.#heldBackUntilMs,
    );
  }

  #writeIfDue(): void {
    const dueMs = this.#dueMs();
    const { clock, isDirectoryFailing } = this.#options;
    const nowMs = clock.nowMs();
    if (dueMs === undefined || dueMs > nowMs) {
      return;
    }
    if (isDirectoryFailing()) {
      this.#heldBackUntilMs = nowMs + RECHECK_MS;
      return;
    }
    this.#lastWriteMs = nowMs;
    const [oldest] = this.#unstored.values();
    this.#options.onUnconfirmed(
      this.#unstored.size,
      nowMs - oldest!.sinceMs,
      this.#unsuccessfulCount,
    );
    // The write before may still hang on a connection that is silent.
    void this.#write(nowMs);
  }

  async #write(nowMs: Millis): Promise<void> {
    const { onFailure, write } = this.#options;
    this.#unsuccessfulCount++;
    const unstored = new Map(this.#unstored);
    for (const [callId, { sinceMs }] of this.#written) {
      if (nowMs - sinceMs > RETENTION_MS) {
        this.#written.delete(callId);
      }
    }
    const records = [...new Map([...this.#written, ...unstored]).values()]
      .slice(-MAX_RECORDS).map(({ record }) => record);
    try {
      await write(this.#writeCount++ % DOCUMENT_COUNT, records);
    } catch (error) {
      onFailure(error);
      return;
    }
    this.#unsuccessfulCount = 0;
    this.confirm(unstored.keys());
    unstored.forEach((each, callId) => this.#written.set(callId, each));
    removeOldest(this.#written);
    this.#schedule();
  }
}

function removeOldest(records: Map<string, TimedRecord>): void {
  for (const callId of records.keys()) {
    if (records.size <= MAX_RECORDS) {
      return;
    }
    records.delete(callId);
  }
}
