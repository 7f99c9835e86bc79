import type { Millis } from "../clock.js";

/** Rates at which an engine processes one request of its current batch. */
export interface ServiceRates {
  readonly prefillTokensPerS: number;
  readonly decodeTokensPerS: number;
}

/** Each new observation multiplies the weight of all earlier ones by this. */
const DECAY_FACTOR = 0.9;

/**
 * Estimates prefill and decode rates from observed requests.
 *
 * Tokens and durations are averaged separately with exponential weights. A
 * mean of the rates would let a one-token answer count as much as a long one.
 */
export class ServiceRateEstimator {
  readonly #prefillRate: DecayingRate;
  readonly #decodeRate: DecayingRate;

  /**
   * Throws `RangeError` unless the initial rates are positive.
   *
   * @param initial Rates until the first observation.
   */
  constructor(initial: ServiceRates) {
    this.#prefillRate = new DecayingRate(initial.prefillTokensPerS);
    this.#decodeRate = new DecayingRate(initial.decodeTokensPerS);
  }

  get prefillTokensPerS(): number {
    return this.#prefillRate.tokensPerS;
  }

  get decodeTokensPerS(): number {
    return this.#decodeRate.tokensPerS;
  }

  /**
   * Records the number of uncached prompt tokens that the engine processed from
   * the start of a request to its first output token, and how long that took.
   */
  observePrefill(tokens: number, durationMs: Millis): void {
    this.#prefillRate.observe(tokens, durationMs);
  }

  /**
   * Records the number of output tokens after the first one, and how long the
   * engine took to generate them.
   */
  observeDecode(tokens: number, durationMs: Millis): void {
    this.#decodeRate.observe(tokens, durationMs);
  }

  /** Estimated time to serve a request once the engine has started it. */
  serviceMs(uncachedPromptTokens: number, outputTokens: number): Millis {
    return uncachedPromptTokens / this.prefillTokensPerS * 1000 +
      outputTokens / this.decodeTokensPerS * 1000;
  }
}

class DecayingRate {
  readonly #initialTokensPerS: number;
  #tokens = 0;
  #durationMs = 0;

  constructor(initialTokensPerS: number) {
    if (!(initialTokensPerS > 0)) {
      throw new RangeError(
        `Initial rate ${initialTokensPerS} tokens/s is not positive`,
      );
    }
    this.#initialTokensPerS = initialTokensPerS;
  }

  get tokensPerS(): number {
    return this.#durationMs > 0
      ? this.#tokens / this.#durationMs * 1000
      : this.#initialTokensPerS;
  }

  observe(tokens: number, durationMs: Millis): void {
    // Without tokens or time the observation says nothing about the rate.
    if (!(tokens > 0 && durationMs > 0)) {
      return;
    }
    this.#tokens = this.#tokens * DECAY_FACTOR + tokens;
    this.#durationMs = this.#durationMs * DECAY_FACTOR + durationMs;
  }
}
