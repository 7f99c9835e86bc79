import type { Millis } from "../clock.js";

/** Mean and variance of a quantity. */
export interface Moments {
  readonly mean: number;
  readonly variance: number;
}

/**
 * Mean and variance of samples whose weight falls with time and with each later
 * sample.
 */
export class DecayingMoments {
  readonly #halfLifeMs: Millis;
  readonly #maxWeight: number;
  #weight = 0;
  #mean = 0;
  #variance = 0;
  #updatedMs: Millis = 0;

  /**
   * @param halfLifeMs Time after which a sample weighs half as much.
   * @param maxWeight Maximum weight of all samples together; one sample adds 1.
   */
  constructor(halfLifeMs: Millis, maxWeight: number) {
    this.#halfLifeMs = halfLifeMs;
    this.#maxWeight = maxWeight;
  }

  /** Weight of all samples at a time; 1 for a single new sample. */
  weight(nowMs: Millis): number {
    const elapsedMs = Math.max(0, nowMs - this.#updatedMs);
    return this.#weight * 2 ** (-elapsedMs / this.#halfLifeMs);
  }

  /** Moments of the samples; both are 0 without any. */
  get moments(): Moments {
    return { mean: this.#mean, variance: this.#variance };
  }

  /** Adds a sample. */
  record(nowMs: Millis, value: number): void {
    const weight = Math.min(this.weight(nowMs) + 1, this.#maxWeight);
    const deviation = value - this.#mean;
    const step = 1 / weight;
    this.#mean += deviation * step;
    this.#variance = (1 - step) *
      (this.#variance + step * deviation * deviation);
    this.#weight = weight;
    this.#updatedMs = Math.max(this.#updatedMs, nowMs);
  }
}
