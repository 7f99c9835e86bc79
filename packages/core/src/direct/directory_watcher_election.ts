import type { Millis } from "../clock.js";
import { rankByRendezvous } from "../membership/index.js";

/** Up to this fleet size, every router watches the directory itself. */
const SMALL_FLEET_ROUTERS = 8;

/**
 * A router stops watching when this many watchers precede it in the ranking.
 */
const MAX_WATCHERS = 4;

/**
 * A router watches the directory itself unless it receives reports from at
 * least this many other watchers. With a single watcher, no router would notice
 * when the connection of that watcher to the directory stalls.
 */
const MIN_WATCHERS = 2;

/** A watcher that has not reported for this long is no longer counted. */
const WATCHER_TIMEOUT_MS: Millis = 1100;

/** All routers must use the same key to derive the same ranking. */
const WATCHER_RANKING_KEY = "directory watch";

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
  readonly #lastReportMs = new Map<string, Millis>();
  #watching = true;

  constructor(localId: string) {
    this.#localId = localId;
  }

  /** Records a report that another router watches an available directory. */
  recordWatcher(id: string, nowMs: Millis): void {
    this.#lastReportMs.set(id, nowMs);
  }

  /** Removes a router whose connection was lost. */
  removeWatcher(id: string): void {
    this.#lastReportMs.delete(id);
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
    for (const [id, lastReportMs] of this.#lastReportMs) {
      if (nowMs - lastReportMs > WATCHER_TIMEOUT_MS) {
        this.#lastReportMs.delete(id);
      }
    }
    const watchers = [...this.#lastReportMs.keys()];
    if (!this.isShared(routerCount) || watchers.length < MIN_WATCHERS) {
      this.#watching = true;
    } else if (this.#watching) {
      const preceding = rankByRendezvous(WATCHER_RANKING_KEY, [
        ...watchers,
        this.#localId,
      ])
        .indexOf(this.#localId);
      this.#watching = preceding < MAX_WATCHERS;
    }
    return this.#watching;
  }
}
