// Decides whether a router is behind, so that requests have to wait for placement.

import type { Millis } from "../clock.js";

/**
 * A router whose event loop lags by this fraction of the shortest latency
 * objective is behind. The rest of that time is for the endpoint and the answer.
 */
const LAG_FRACTION = 0.25;

/**
 * A router is no longer behind below this fraction of the lag at which it began to
 * be, so that it does not alternate at the limit.
 */
const CAUGHT_UP_FRACTION = 0.5;

/** Bounds of the number of requests that are placed at once when read together. */
const MIN_CALLS_AT_ONCE = 2;
const MAX_CALLS_AT_ONCE = 16;

/** Assumed until the time for a request has been measured. */
const DEFAULT_CALLS_AT_ONCE = 4;

/** What the host tells of the event loop when a request arrives. */
export interface CallArrival {
  readonly nowMs: Millis;
  /** Identifies the iteration of the event loop in which the request was read. */
  readonly turnMs: Millis;
  /** Lag of the event loop; undefined if it was not measured. */
  readonly lagMs: Millis | undefined;
}

/**
 * Tells from the lag of the event loop, and from the number of requests that were
 * read in one iteration of it, whether a router is behind.
 */
export class OverloadDetector {
  #isBehind = false;
  #turnMs: Millis | undefined;
  #callsInTurn = 0;

  get isBehind(): boolean {
    return this.#isBehind;
  }

  /**
   * @param objectiveMs Shortest latency objective of the routes.
   * @param intervalMs Time for one request, as far as measured.
   */
  observeCall(
    { lagMs, turnMs }: CallArrival,
    objectiveMs: Millis,
    intervalMs: Millis | undefined,
    hasWaiting: boolean,
  ): void {
    if (turnMs !== this.#turnMs) {
      this.#turnMs = turnMs;
      this.#callsInTurn = 0;
    }
    this.#callsInTurn++;
    if (this.#callsInTurn > callsAtOnce(objectiveMs, intervalMs)) {
      this.#isBehind = true;
    } else if (lagMs !== undefined) {
      this.observeLag(lagMs, objectiveMs, hasWaiting);
    }
  }

  observeLag(lagMs: Millis, objectiveMs: Millis, hasWaiting: boolean): void {
    const limitMs = objectiveMs * LAG_FRACTION;
    if (lagMs >= limitMs) {
      this.#isBehind = true;
    } else if (!hasWaiting && lagMs < limitMs * CAUGHT_UP_FRACTION) {
      this.#isBehind = false;
    }
  }
}

/** Number of requests that take no longer than the lag of a router that is behind. */
function callsAtOnce(
  objectiveMs: Millis,
  intervalMs: Millis | undefined,
): number {
  return intervalMs === undefined ? DEFAULT_CALLS_AT_ONCE : Math.min(
    MAX_CALLS_AT_ONCE,
    Math.max(
      MIN_CALLS_AT_ONCE,
      Math.floor(objectiveMs * LAG_FRACTION / intervalMs),
    ),
  );
}
