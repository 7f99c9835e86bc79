import type { Millis } from "../clock.js";
import { rankByRendezvous } from "../membership/index.js";

/** Up to this fleet size, every router watches the directory itself. */
const SMALL_FLEET_ROUTERS = 8;

/** A router stops watching when this many watchers precede it in rank. */
const MAX_WATCHERS = 4;

/**
 * Other watchers from which a router must receive reports, or it watches
 * itself. With a single one, nobody would notice when the connection of that
 * watcher to the directory stalls.
 */
const MIN_WATCHERS = 2;

/** A watcher that has not reported for this long does not count. */
const WATCHER_TIMEOUT_MS: Millis = 1100;

/** All routers must use the same key to derive the same order. */
const RANK_KEY = "directory watch";

/**
 * Decides whether a router watches the endpoints of the directory itself or
 * receives changes from the watching routers.
 *
 * Each router decides from the watchers that report to it. Rendezvous hashing
 * gives all routers of a connected fleet the same order, so the same few keep
 * watching. The gap between `MIN_WATCHERS` and `MAX_WATCHERS` keeps a router
 * from changing its decision back and forth.
 */
export class DirectoryWatcherElection {
  readonly #localId: string;
  readonly #lastHeardMs = new Map<string, Millis>();
  #watching = true;

  constructor(localId: string) {
    this.#localId = localId;
  }

  /** Records a report that another router watches an available directory. */
  recordWatcher(id: string, nowMs: Millis): void {
    this.#lastHeardMs.set(id, nowMs);
  }

  /** Removes a router whose connection was lost. */
  removeWatcher(id: string): void {
    this.#lastHeardMs.delete(id);
  }

  /** Whether only some routers watch in a fleet of this size. */
  isShared(routerCount: number): boolean {
    return routerCount > SMALL_FLEET_ROUTERS;
  }

  /**
   * Updates and returns whether this router watches. A router starts as a
   * watcher.
   */
  decide(routerCount: number, nowMs: Millis): boolean {
    for (const [id, lastHeardMs] of this.#lastHeardMs) {
      if (nowMs - lastHeardMs > WATCHER_TIMEOUT_MS) {
        this.#lastHeardMs.delete(id);
      }
    }
    const watchers = [...this.#lastHeardMs.keys()];
    if (!this.isShared(routerCount) || watchers.length < MIN_WATCHERS) {
      this.#watching = true;
    } else if (this.#watching) {
      const ahead = rankByRendezvous(RANK_KEY, [...watchers, this.#localId])
        .indexOf(this.#localId);
      this.#watching = ahead < MAX_WATCHERS;
    }
    return this.#watching;
  }
}
