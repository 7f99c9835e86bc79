import type { Millis } from "../clock.js";

/**
 * Tolerance for rounding errors of refills, in tokens, so that `tryConsume`
 * succeeds after the time that `waitMs` returned.
 */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Token bucket: holds up to `burst` tokens, starts full, refills at `ratePerS`.
 */
export class TokenBucket {
  #ratePerS: number;
  #burst: number;
  #availableTokens: number;
  #updatedAtMs: Millis;

  constructor(ratePerS: number, burst: number, nowMs: Millis) {
    this.#ratePerS = ratePerS;
    this.#burst = burst;
    this.#availableTokens = burst;
    this.#updatedAtMs = nowMs;
  }

  /** Consumes `count` tokens if that many are available, otherwise none. */
  tryConsume(count: number, nowMs: Millis): boolean {
    this.#refill(nowMs);
    if (this.#availableTokens + ROUNDING_TOLERANCE < count) {
      return false;
    }
    this.#availableTokens = Math.max(0, this.#availableTokens - count);
    return true;
  }

  /**
   * Time until `count` tokens are available; `Infinity` if they never will be.
   */
  waitMs(count: number, nowMs: Millis): Millis {
    this.#refill(nowMs);
    if (this.#availableTokens + ROUNDING_TOLERANCE >= count) {
      return 0;
    }
    if (count > this.#burst || this.#ratePerS <= 0) {
      return Infinity;
    }
    return (count - this.#availableTokens) / this.#ratePerS * 1000;
  }

  /** Changes the limit, for example when the number of live routers changes. */
  setLimit(ratePerS: number, burst: number, nowMs: Millis): void {
    this.#refill(nowMs);
    this.#ratePerS = ratePerS;
    this.#burst = burst;
    this.#availableTokens = Math.min(this.#availableTokens, burst);
  }

  #refill(nowMs: Millis): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    this.#availableTokens = Math.min(
      this.#burst,
      this.#availableTokens + elapsedMs / 1000 * this.#ratePerS,
    );
    this.#updatedAtMs = Math.max(nowMs, this.#updatedAtMs);
  }
}
