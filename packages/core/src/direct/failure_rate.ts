import type { Millis } from "../clock.js";

/** Time after which an outcome counts half. */
const HALF_LIFE_MS: Millis = 2000;

/** Share of an endpoint's recent requests that failed because of it. */
export class FailureRate {
  #successes = 0;
  #failures = 0;
  #atMs: Millis = 0;

  note(nowMs: Millis, failed: boolean): void {
    this.#decay(nowMs);
    if (failed) {
      this.#failures++;
    } else {
      this.#successes++;
    }
  }

  /** Weighted number of outcomes that the rate rests on. */
  samples(nowMs: Millis): number {
    this.#decay(nowMs);
    return this.#successes + this.#failures;
  }

  rate(nowMs: Millis): number {
    const samples = this.samples(nowMs);
    return samples === 0 ? 0 : this.#failures / samples;
  }

  #decay(nowMs: Millis): void {
    const factor = 0.5 ** (Math.max(0, nowMs - this.#atMs) / HALF_LIFE_MS);
    this.#successes *= factor;
    this.#failures *= factor;
    this.#atMs = Math.max(this.#atMs, nowMs);
  }
}
