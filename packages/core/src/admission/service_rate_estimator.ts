import type { Millis } from "../clock.js";

/** Rates at which an engine serves one request of its current batch. */
export interface ServiceRates {
  readonly prefillTokensPerS: number;
  readonly decodeTokensPerS: number;
}

/** Factor on the weight of earlier observations at each new one. */
const DECAY = 0.9;

/**
 * Estimates prefill and decode rates from observed requests.
 *
 * Tokens and durations are averaged separately with exponential weights. A
 * mean of the rates would let a one-token answer count as much as a long one.
 */
export class ServiceRateEstimator {
  readonly #prefill: DecayingRate;
  readonly #decode: DecayingRate;

  /**
   * Throws `RangeError` unless the initial rates are positive.
   *
   * @param initial Rates until the first observation.
   */
  constructor(initial: ServiceRates) {
    this.#prefill = new DecayingRate(initial.prefillTokensPerS);
    this.#decode = new DecayingRate(initial.decodeTokensPerS);
  }

  get prefillTokensPerS(): number {
    return this.#prefill.tokensPerS;
  }

  get decodeTokensPerS(): number {
    return this.#decode.tokensPerS;
  }

  /** Records the uncached prompt tokens and the time to the first token. */
  observePrefill(tokens: number, durationMs: Millis): void {
    this.#prefill.observe(tokens, durationMs);
  }

  /** Records the tokens after the first one and the time that they took. */
  observeDecode(tokens: number, durationMs: Millis): void {
    this.#decode.observe(tokens, durationMs);
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
    this.#tokens = this.#tokens * DECAY + tokens;
    this.#durationMs = this.#durationMs * DECAY + durationMs;
  }
}
