import type { Millis } from "../clock.js";

/** Longest time for which an endpoint counts as cold after one claim. */
export const MAX_COLD_MS: Millis = 60_000;

/** Length of each step in which an endpoint gets more again. */
const WARM_UP_STEP_MS: Millis = 500;

/** Number of steps; in each, the rate of requests is doubled. */
const WARM_UP_STEPS = 2;

/** Time after the cold period until the rate is not limited any more. */
const WARM_UP_MS: Millis = WARM_UP_STEP_MS * WARM_UP_STEPS;

/**
 * Time for which an endpoint is cold, and the steps after it. Claims are up to
 * seconds old, so the longest one counts and none shortens the time.
 */
export class ColdPeriod {
  #untilMs: Millis = Number.NEGATIVE_INFINITY;

  /**
   * Records a claim. One that is no possible time has no effect.
   *
   * @returns Whether the endpoint did not count as cold before.
   */
  extend(nowMs: Millis, forMs: Millis): boolean {
    if (!(forMs > 0)) {
      return false;
    }
    const wasWarm = !this.isCold(nowMs);
    const untilMs = nowMs + Math.min(MAX_COLD_MS, forMs);
    this.#untilMs = Math.max(this.#untilMs, untilMs);
    return wasWarm;
  }

  /** Whether the longest claim has not ended yet. */
  isCold(nowMs: Millis): boolean {
    return nowMs < this.#untilMs;
  }

  /** Whether the endpoint was cold, or getting warm, at a time or later. */
  wasColdSince(sinceMs: Millis): boolean {
    return sinceMs < this.#untilMs + WARM_UP_MS;
  }

  /** Time for which the endpoint stays cold; 0 if it is not. */
  remainingMs(nowMs: Millis): Millis {
    return Math.max(0, this.#untilMs - nowMs);
  }

  /**
   * Multiple of a cold endpoint's rate that the endpoint may get; `Infinity` if it
   * is warm.
   */
  rateFactor(nowMs: Millis): number {
    if (this.isCold(nowMs)) {
      return 1;
    }
    const step = Math.floor((nowMs - this.#untilMs) / WARM_UP_STEP_MS) + 1;
    return step > WARM_UP_STEPS ? Infinity : 2 ** step;
  }
}
