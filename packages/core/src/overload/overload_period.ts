import type { Millis } from "../clock.js";

/** A period ends when no request has had to wait for this long. */
const CALM_MS: Millis = 5000;

/** Summary of a period in which requests had to wait for their placement. */
export interface OverloadSummary {
  readonly tookMs: Millis;
  readonly maxLagMs: Millis;
  readonly maxWaiting: number;
  readonly placed: number;
  readonly refused: number;
}

/** Sums up a period in which requests had to wait for their placement. */
export class OverloadPeriod {
  #startedMs: Millis | undefined;
  #lastWaitingMs: Millis = 0;
  #maxLagMs: Millis = 0;
  #maxWaiting = 0;
  #placed = 0;
  #refused = 0;

  recordRefused(): void {
    this.#refused++;
  }

  /**
   * Records an iteration of the event loop; returns whether a period begins with
   * it. That takes a request that still waits after others were placed.
   */
  recordTurn(
    nowMs: Millis,
    lagMs: Millis,
    placed: number,
    waiting: number,
  ): boolean {
    this.#placed += placed;
    this.#maxLagMs = Math.max(this.#maxLagMs, lagMs);
    this.#maxWaiting = Math.max(this.#maxWaiting, waiting + placed);
    if (waiting === 0) {
      return false;
    }
    this.#lastWaitingMs = nowMs;
    const begins = this.#startedMs === undefined;
    this.#startedMs ??= nowMs;
    return begins;
  }

  /** Ends the period if it is over, and returns what was recorded in it. */
  end(nowMs: Millis): OverloadSummary | undefined {
    if (
      this.#startedMs === undefined || nowMs - this.#lastWaitingMs < CALM_MS
    ) {
      return undefined;
    }
    const summary = {
      tookMs: this.#lastWaitingMs - this.#startedMs,
      maxLagMs: this.#maxLagMs,
      maxWaiting: this.#maxWaiting,
      placed: this.#placed,
      refused: this.#refused,
    };
    this.#startedMs = undefined;
    this.#maxLagMs = 0;
    this.#maxWaiting = 0;
    this.#placed = 0;
    this.#refused = 0;
    return summary;
  }
}
