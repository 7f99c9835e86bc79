import type { Millis } from "../clock.js";
import { rankByRendezvous } from "../membership/index.js";

/** In fleets of up to this many routers, every router keeps a watch pending. */
const SMALL_FLEET_ROUTERS = 8;

/**
 * How many routers confirm the endpoint list for the fleet. A router joins them
 * if fewer than `min` others report to it, and leaves them if at least `max`
 * others precede it in the ranking.
 */
interface WatcherLimits {
  readonly min: number;
  readonly max: number;
}

/** The other routers watch as well, only less often. */
const SMALL_FLEET_LIMITS: WatcherLimits = { min: 1, max: 1 };

/**
 * The other routers do not watch. With a single watcher, no router would notice
 * when the connection of that watcher to the directory stalls.
 */
const LARGE_FLEET_LIMITS: WatcherLimits = { min: 2, max: 4 };

/** A watcher from which no report has arrived for this long is not counted. */
const WATCHER_TIMEOUT_MS: Millis = 1100;

/** Key of the rendezvous ranking; must be the same in all routers. */
const WATCHER_RANKING_KEY = "directory watch";

/**
 * Part of a router in watching the directory. A `watcher` confirms the endpoint
 * list for the others, the `first` watcher the configuration as well. A
 * `follower` relies on the reports of watchers.
 */
export type WatchRole = "first" | "watcher" | "follower";

/**
 * Decides which routers confirm what the fleet knows of the directory.
 *
 * Each router decides from the watchers that report to it. Rendezvous hashing
 * gives all routers of a connected fleet the same ranking, so all agree on the
 * few that keep watching. A gap between the limits keeps a router from changing
 * its decision back and forth.
 */
export class DirectoryWatcherElection {
  readonly #nodeId: string;
  readonly #lastReportMs = new Map<string, Millis>();
  #role: WatchRole = "first";

  constructor(nodeId: string) {
    this.#nodeId = nodeId;
  }

  /** The latest decision; `first` before the first one. */
  get role(): WatchRole {
    return this.#role;
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

  /** Whether followers do not watch at all in a fleet of this size. */
  isShared(routerCount: number): boolean {
    return routerCount > SMALL_FLEET_ROUTERS;
  }

  /** Decides again which role this router has, and returns it. */
  decide(routerCount: number, nowMs: Millis): WatchRole {
    for (const [id, lastReportMs] of this.#lastReportMs) {
      if (nowMs - lastReportMs > WATCHER_TIMEOUT_MS) {
        this.#lastReportMs.delete(id);
      }
    }
    const { max, min } = this.isShared(routerCount)
      ? LARGE_FLEET_LIMITS
      : SMALL_FLEET_LIMITS;
    const watchers = [...this.#lastReportMs.keys()];
    const preceding = rankByRendezvous(WATCHER_RANKING_KEY, [
      ...watchers,
      this.#nodeId,
    ])
      .indexOf(this.#nodeId);
    const watches = watchers.length < min ||
      (this.#role !== "follower" && preceding < max);
    this.#role = !watches ? "follower" : preceding === 0 ? "first" : "watcher";
    return this.#role;
  }
}
