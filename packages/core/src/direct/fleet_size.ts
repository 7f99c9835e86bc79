import type { Millis } from "../clock.js";

/**
 * A router that is no longer heard of counts for at least this long, and for
 * less than twice as long. Regions may lose each other for an hour.
 */
const RETENTION_MS: Millis = 3_600_000;

/** A router that has seen no other for this long may be the only one. */
const ALONE_AFTER_MS: Millis = 10_000;

/** Times of the first and the last observation of the routers of the fleet. */
export interface RouterObservations {
  readonly routersObservedSinceMs: Millis | undefined;
  readonly routersObservedMs: Millis;
}

/**
 * Whether the routers were observed for long enough that one which has seen no other
 * may count as the only one.
 */
export function areRoutersObservedLong(
  { routersObservedMs, routersObservedSinceMs }: RouterObservations,
): boolean {
  return routersObservedSinceMs !== undefined &&
    routersObservedMs - routersObservedSinceMs >= ALONE_AFTER_MS;
}

/**
 * Number of routers by which this one divides what the fleet shares.
 *
 * A router that others do not hear may still serve, so the size is the largest
 * that was seen lately, not the number of routers that are reached now.
 */
export class FleetSize {
  #largest = 1;
  #largestBefore = 1;
  #ids = new Set<string>();
  #idsBefore: ReadonlySet<string> = new Set();
  #otherIds: readonly string[] = [];
  #periodStartMs: Millis | undefined;
  #grownMs: Millis = Number.NEGATIVE_INFINITY;

  /**
   * Records how many routers are known now, this one included.
   *
   * @param otherIds Ids of the others.
   */
  observe(
    nowMs: Millis,
    routerCount: number,
    otherIds: readonly string[] = [],
  ): void {
    this.#periodStartMs ??= nowMs;
    const routersBefore = this.routers;
    if (nowMs - this.#periodStartMs >= RETENTION_MS) {
      this.#largestBefore = this.#largest;
      this.#largest = 1;
      this.#idsBefore = this.#ids;
      this.#ids = new Set();
      this.#otherIds = [...this.#idsBefore];
      this.#periodStartMs = nowMs;
    }
    this.#largest = Math.max(this.#largest, routerCount);
    if (this.routers > routersBefore) {
      this.#grownMs = nowMs;
    }
    if (otherIds.some((id) => !this.#ids.has(id))) {
      otherIds.forEach((id) => this.#ids.add(id));
      this.#otherIds = [...new Set([...this.#ids, ...this.#idsBefore])];
    }
  }

  /**
   * Ids of the other routers that were seen lately; the same array as long as
   * they do not change.
   */
  get otherIds(): readonly string[] {
    return this.#otherIds;
  }

  /** When the number of routers last rose. */
  get grownMs(): Millis {
    return this.#grownMs;
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
