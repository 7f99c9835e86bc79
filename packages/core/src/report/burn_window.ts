import type { Millis } from "../clock.js";

/** Duration of one bucket. */
export const BUCKET_MS: Millis = 10_000;

/** Time for which a window keeps events. */
export const RETENTION_MS: Millis = 6 * 60 * 60 * 1000;

const BUCKET_COUNT = RETENTION_MS / BUCKET_MS;

/**
 * Reasons are counted in longer slots than good and bad events, to save memory.
 */
const REASON_SLOT_MS: Millis = 10 * 60 * 1000;
const REASON_SLOT_COUNT = RETENTION_MS / REASON_SLOT_MS;

/** Distinct reasons kept per slot; further ones are counted as `other`. */
const MAX_REASONS = 16;

export interface EventCounts {
  good: number;
  bad: number;
}

interface ReasonSlot {
  /** Number of the slot since the epoch; -1 before the first use. */
  slotNumber: number;
  readonly counts: Map<string, number>;
}

/**
 * Good and bad events of one objective over the last 6 h.
 *
 * A ring of 10 s buckets takes 34 KB. Each bucket stores its number since the
 * epoch, so that a bucket from an earlier pass over the ring or from before a
 * step of the wall clock is never counted.
 */
export class BurnWindow {
  readonly #bucketNumbers = new Float64Array(BUCKET_COUNT).fill(-1);
  readonly #good = new Uint32Array(BUCKET_COUNT);
  readonly #bad = new Uint32Array(BUCKET_COUNT);
  readonly #reasons: ReasonSlot[] = Array.from(
    { length: REASON_SLOT_COUNT },
    () => ({ slotNumber: -1, counts: new Map() }),
  );

  addGood(wallMs: Millis): void {
    this.#good[this.#bucketAt(wallMs)]++;
  }

  addBad(wallMs: Millis, reason: string): void {
    this.#bad[this.#bucketAt(wallMs)]++;
    const { counts } = this.#slotAt(wallMs);
    const isKept = counts.has(reason) || counts.size < MAX_REASONS;
    const key = isKept ? reason : "other";
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }

  /**
   * Counts the events in whole buckets: from the bucket after that of `fromMs`
   * up to and including that of `untilMs`.
   */
  count(fromMs: Millis, untilMs: Millis): EventCounts {
    const sum = { good: 0, bad: 0 };
    const lastNumber = Math.floor(untilMs / BUCKET_MS);
    const firstNumber = Math.max(
      Math.floor(fromMs / BUCKET_MS) + 1,
      lastNumber - BUCKET_COUNT + 1,
    );
    for (let number = firstNumber; number <= lastNumber; number++) {
      const index = number % BUCKET_COUNT;
      if (this.#bucketNumbers[index] === number) {
        sum.good += this.#good[index];
        sum.bad += this.#bad[index];
      }
    }
    return sum;
  }

  /** Bad events of the last 6 h by reason. */
  reasons(wallMs: Millis): Map<string, number> {
    const lastNumber = Math.floor(wallMs / REASON_SLOT_MS);
    const sums = new Map<string, number>();
    for (const { slotNumber, counts } of this.#reasons) {
      if (
        slotNumber > lastNumber - REASON_SLOT_COUNT && slotNumber <= lastNumber
      ) {
        for (const [reason, count] of counts) {
          sums.set(reason, (sums.get(reason) ?? 0) + count);
        }
      }
    }
    return sums;
  }

  #bucketAt(wallMs: Millis): number {
    const number = Math.floor(wallMs / BUCKET_MS);
    const index = number % BUCKET_COUNT;
    if (this.#bucketNumbers[index] !== number) {
      this.#bucketNumbers[index] = number;
      this.#good[index] = 0;
      this.#bad[index] = 0;
    }
    return index;
  }

  #slotAt(wallMs: Millis): ReasonSlot {
    const number = Math.floor(wallMs / REASON_SLOT_MS);
    const slot = this.#reasons[number % REASON_SLOT_COUNT];
    if (slot.slotNumber !== number) {
      slot.slotNumber = number;
      slot.counts.clear();
    }
    return slot;
  }
}
