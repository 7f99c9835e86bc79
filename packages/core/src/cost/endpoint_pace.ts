import type { Millis } from "../clock.js";

/** Slowest pace that a report may name, as a multiple of the usual time. */
export const MAX_PACE_FACTOR = 100;

/** Up to this age, a reported pace counts in full. */
const FULL_WEIGHT_MS: Millis = 600;

/** From this age on, the pace counts as unknown. */
const UNKNOWN_AFTER_MS: Millis = 1500;

/** Pace of an endpoint that is not known, or is the usual one. */
const USUAL_FACTOR = 1;

/**
 * How long work currently takes at an endpoint, as the endpoint reports it.
 *
 * The pace changes many times a second, so a report loses its weight soon.
 */
export class EndpointPace {
  #reportedFactor: number | undefined;
  #reportedMs: Millis = 0;

  /** Whether the endpoint has ever reported its pace. */
  get isReported(): boolean {
    return this.#reportedFactor !== undefined;
  }

  /**
   * Records a report.
   *
   * @param factor Multiple of the usual time.
   */
  observe(nowMs: Millis, factor: number): void {
    this.#reportedFactor = factor;
    this.#reportedMs = nowMs;
  }

  /** Expected multiple of the usual time; 1 if it is not known. */
  factor(nowMs: Millis): number {
    if (this.#reportedFactor === undefined) {
      return USUAL_FACTOR;
    }
    const ageMs = nowMs - this.#reportedMs;
    const fadedPart = (ageMs - FULL_WEIGHT_MS) /
      (UNKNOWN_AFTER_MS - FULL_WEIGHT_MS);
    const weight = 1 - Math.min(1, Math.max(0, fadedPart));
    return USUAL_FACTOR + (this.#reportedFactor - USUAL_FACTOR) * weight;
  }
}
