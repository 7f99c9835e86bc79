import type { Millis } from "../clock.js";
import { rankByRendezvous } from "../membership/index.js";

/** Routers up to which each one watches the directory for itself. */
const SMALL_FLEET_ROUTERS = 8;

/** Watchers ahead of a router from which it leaves the watch to them. */
const ENOUGH_WATCHERS = 4;

/**
 * Watchers that a router must hear at least. With a single one, a connection
 * of that one to the directory that went silent would go unnoticed.
 */
const MIN_WATCHERS = 2;

/** A watcher that was not heard for this long does not count. */
const HEARD_MS: Millis = 1100;

const RANK_KEY = "directory watch";

/**
 * Decides whether a router watches the endpoints of the directory or hears of
 * changes from others that do.
 *
 * Each router decides from the watchers that it hears. The order by
 * rendezvous hashing makes the same few go on in all of a connected fleet, and
 * the gap between the two bounds keeps the decision from going back and forth.
 */
export class DirectoryWatcherElection {
  readonly #ownId: string;
  readonly #heardMs = new Map<string, Millis>();
  #watching = true;

  constructor(ownId: string) {
    this.#ownId = ownId;
  }

  /** Notes that another router watches the directory and gets answers. */
  recordWatcher(id: string, nowMs: Millis): void {
    this.#heardMs.set(id, nowMs);
  }

  /** Notes that a router can no longer be heard. */
  removeWatcher(id: string): void {
    this.#heardMs.delete(id);
  }

  /** Whether fleets of this size share the watch. */
  isShared(routerCount: number): boolean {
    return routerCount > SMALL_FLEET_ROUTERS;
  }

  /** Decides anew; a router begins as a watcher. */
  decide(routerCount: number, nowMs: Millis): boolean {
    for (const [id, heardMs] of this.#heardMs) {
      if (nowMs - heardMs > HEARD_MS) {
        this.#heardMs.delete(id);
      }
    }
    const watchers = [...this.#heardMs.keys()];
    if (!this.isShared(routerCount) || watchers.length < MIN_WATCHERS) {
      this.#watching = true;
    } else if (this.#watching) {
      const ahead = rankByRendezvous(RANK_KEY, [...watchers, this.#ownId])
        .indexOf(this.#ownId);
      this.#watching = ahead < ENOUGH_WATCHERS;
    }
    return this.#watching;
  }
}
