import type { Millis } from "../clock.js";

/**
 * A router that is no longer heard of counts for at least this long, and for
 * less than twice as long. Regions may lose each other for an hour.
 */
const RETENTION_MS: Millis = 3_600_000;

/**
 * Number of routers by which this one divides what the fleet shares.
 *
 * A router that others do not hear may still serve, so the size is the largest
 * that was seen lately, not the number of routers that are reached now.
 */
export class FleetSize {
  #largest = 1;
  #largestBefore = 1;
  #periodStartMs: Millis | undefined;

  /** Records how many routers are known now, this one included. */
  observe(nowMs: Millis, routerCount: number): void {
    this.#periodStartMs ??= nowMs;
    if (nowMs - this.#periodStartMs >= RETENTION_MS) {
      this.#largestBefore = this.#largest;
      this.#largest = 1;
      this.#periodStartMs = nowMs;
    }
    this.#largest = Math.max(this.#largest, routerCount);
  }

  /** Number of routers in the fleet, this one included. */
  get routers(): number {
    return Math.max(this.#largest, this.#largestBefore);
  }

  /**
   * Whether another router was seen. A router that has seen none may be the only
   * one, or one of many that cannot reach each other.
   */
  get isKnown(): boolean {
    return this.routers > 1;
  }
}
