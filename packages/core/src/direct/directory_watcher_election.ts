import type { Millis } from "../clock.js";
import { rankByRendezvous } from "../membership/index.js";

/** In fleets of up to this many routers, every router watches the directory. */
const SMALL_FLEET_ROUTERS = 8;

/**
 * A watching router stops watching if at least this many other watchers precede
 * it in the ranking.
 */
const MAX_WATCHERS = 4;

/**
 * A router watches the directory itself unless it receives reports from at
 * least this many other watchers. With a single watcher, no router would notice
 * when the connection of that watcher to the directory stalls.
 */
const MIN_WATCHERS = 2;

/** A watcher from which no report has arrived for this long is not counted. */
const WATCHER_TIMEOUT_MS: Millis = 1100;

/** Key of the rendezvous ranking; must be the same in all routers. */
const WATCHER_RANKING_KEY = "directory watch";

/**
 * Decides whether a router watches the directory's endpoint list itself or
 * receives changes of the list from watching routers.
 *
 * Each router decides from the watchers that report to it. Rendezvous hashing
 * gives all routers of a connected fleet the same ranking, so all agree on the
 * few that keep watching. The gap between `MIN_WATCHERS` and `MAX_WATCHERS`
 * keeps a router from changing its decision back and forth.
 */
export class DirectoryWatcherElection {
  readonly #nodeId: string;
  readonly #lastReportMs = new Map<string, Millis>();
  #watching = true;

  constructor(nodeId: string) {
    this.#nodeId = nodeId;
  }

  /**
   * Records another router's report that it watches the directory successfully.
   */
  recordWatcher(id: string, nowMs: Millis): void {
    this.#lastReportMs.set(id, nowMs);
  }

  /** Stops counting a router as a watcher after its connection was lost. */
  removeWatcher(id: string): void {
    this.#lastReportMs.delete(id);
  }

  /** Whether only a few routers watch the directory in a fleet of this size. */
  isShared(routerCount: number): boolean {
    return routerCount > SMALL_FLEET_ROUTERS;
  }

  /**
   * Decides again whether this router watches, and returns the decision. Before
   * the first call, a router counts as watching.
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
        this.#nodeId,
      ])
        .indexOf(this.#nodeId);
      this.#watching = preceding < MAX_WATCHERS;
    }
    return this.#watching;
  }
}
