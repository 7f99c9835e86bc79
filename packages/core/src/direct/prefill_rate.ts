import type { Millis } from "../clock.js";

/** Rate that is assumed before the first observation. */
const INITIAL_TOKENS_PER_MS = 50;

/** Weight of the initial rate, as the duration of an observation. */
const INITIAL_WEIGHT_MS: Millis = 50;

/** Factor by which the weight of earlier observations falls with each new one. */
const DECAY = 0.9;

/** Estimates how many prompt tokens an engine of a service processes per ms. */
export class PrefillRate {
  #tokens = INITIAL_TOKENS_PER_MS * INITIAL_WEIGHT_MS;
  #durationMs: Millis = INITIAL_WEIGHT_MS;

  /** Records that an engine needed a time for a number of prompt tokens. */
  record(tokens: number, durationMs: Millis): void {
    this.#tokens = this.#tokens * DECAY + tokens;
    this.#durationMs = this.#durationMs * DECAY + Math.max(1, durationMs);
  }

  get tokensPerMs(): number {
    return this.#tokens / this.#durationMs;
  }
}
