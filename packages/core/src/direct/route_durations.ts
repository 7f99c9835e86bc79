import type { Millis } from "../clock.js";

/** Weights of a new duration in the mean and in the mean deviation (RFC 6298). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Number of mean deviations above the mean that nearly all answers stay below. */
const DEVIATIONS = 4;

/** Assumed for a route on which this router has answered nothing yet. */
const UNKNOWN_DURATION_MS: Millis = 3000;

interface Duration {
  meanMs: Millis;
  deviationMs: Millis;
}

/** How long answered requests took of late, by name of the route. */
export class RouteDurations {
  readonly #durations = new Map<string, Duration>();

  record(route: string, tookMs: Millis): void {
    const known = this.#durations.get(route);
    if (!known) {
      this.#durations.set(route, { meanMs: tookMs, deviationMs: tookMs / 2 });
      return;
    }
    const errorMs = tookMs - known.meanMs;
    known.deviationMs += (Math.abs(errorMs) - known.deviationMs) *
      DEVIATION_WEIGHT;
    known.meanMs += errorMs * MEAN_WEIGHT;
  }

  /** Time within which nearly all requests of the route are answered. */
  usualMaxMs(route: string): Millis {
    const known = this.#durations.get(route);
    return known
      ? known.meanMs + DEVIATIONS * known.deviationMs
      : UNKNOWN_DURATION_MS;
  }
}
