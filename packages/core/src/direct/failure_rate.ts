import type { Millis } from "../clock.js";

/** Time in which the weight of a recorded outcome halves. */
const HALF_LIFE_MS: Millis = 2000;

/** Fraction of the recent attempts at an endpoint that failed. */
export class FailureRate {
  #successes = 0;
  #failures = 0;
  #decayedAtMs: Millis = 0;

  /** Records the outcome of an attempt. */
  record(nowMs: Millis, failed: boolean): void {
    this.#decay(nowMs);
    if (failed) {
      this.#failures++;
    } else {
      this.#successes++;
    }
  }

  /**
   * Number of outcomes on which the rate is based. Older outcomes count less
   * than 1.
   */
  samples(nowMs: Millis): number {
    this.#decay(nowMs);
    return this.#successes + this.#failures;
  }

  /** Failure rate from 0 to 1; 0 without samples. */
  rate(nowMs: Millis): number {
    const samples = this.samples(nowMs);
    return samples === 0 ? 0 : this.#failures / samples;
  }

  #decay(nowMs: Millis): void {
    const factor = 0.5 **
      (Math.max(0, nowMs - this.#decayedAtMs) / HALF_LIFE_MS);
    this.#successes *= factor;
    this.#failures *= factor;
    this.#decayedAtMs = Math.max(this.#decayedAtMs, nowMs);
  }
}
