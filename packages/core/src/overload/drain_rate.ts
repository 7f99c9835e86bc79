import type { Millis } from "../clock.js";

/** Each new observation multiplies the weight of all earlier ones by this. */
const DECAY_FACTOR = 0.9;

/** The rate is not known before this many requests were placed. */
const MIN_PLACED = 8;

/** Measures how fast the requests that wait are placed. */
export class DrainRate {
  #placed = 0;
  #weightedPlaced = 0;
  #weightedMs = 0;

  /** Records the time from a placement until the next one was possible. */
  observe(tookMs: Millis): void {
    this.#placed++;
    this.#weightedPlaced = this.#weightedPlaced * DECAY_FACTOR + 1;
    this.#weightedMs = this.#weightedMs * DECAY_FACTOR + tookMs;
  }

  /** Mean time between two placements; undefined if it is not known. */
  get intervalMs(): Millis | undefined {
    return this.#placed < MIN_PLACED
      ? undefined
      : this.#weightedMs / this.#weightedPlaced;
  }
}
