import {
  type Clock,
  DirectoryWatcherElection,
  type EndpointRecord,
  type Millis,
  type RoutingConfig,
  type WatchRole,
} from "@anvildeal/core";
import type { Logger } from "../logging/index.js";
import type { CollectionWatcher, WatchPace } from "./collection_watcher.js";

/**
 * Longest wait of a watch that confirms nothing for the fleet. Long waits save
 * calls; each call is charged.
 */
const MAX_WATCH_WAIT_MS: Millis = 25_000;

/**
 * A watch that confirms what the fleet knows waits for this fraction of the
 * allowed age. The rest is for noticing that no answer comes, for the next call
 * and for telling the other routers.
 */
const CONFIRMING_WAIT_FRACTION = 1 / 3;

/** Wait of a watch that confirms what the fleet knows. */
export function confirmingWaitMs(maxDirectoryAgeMs: Millis): Millis {
  return Math.round(maxDirectoryAgeMs * CONFIRMING_WAIT_FRACTION);
}

/**
 * A watch call after a failed one lasts at most for this fraction of the allowed
 * age. The rest is for the delay before the next call.
 */
const CALL_AFTER_FAILURE_FRACTION = 0.7;

/**
 * Delay between a change and the next watch call. It is longer in a large fleet,
 * where several watchers read each group of changes.
 */
const BATCH_DELAY_MS: Millis = 200;
const SHARED_BATCH_DELAY_MS: Millis = 500;

export interface WatchDutyOptions {
  readonly nodeId: string;
  /** Longest time for which the fleet may act on an outdated view. */
  readonly maxDirectoryAgeMs: Millis;
  readonly configs: CollectionWatcher<RoutingConfig>;
  readonly endpoints: CollectionWatcher<EndpointRecord>;
  readonly logger: Logger;
  readonly clock: Clock;
  /** Makes further calls to the directory use new connections. */
  readonly renewConnections: (reason: string) => void;
  /** Called when this router stops watching because enough others watch. */
  readonly onWatchPaused: () => void;
}

/**
 * Sets how often this router asks the directory. A pending watch shows nothing
 * about its connection, which may have fallen silent, so a few routers use short
 * waits and report to the others. A router that gets no reports asks itself.
 */
export class WatchDuty {
  readonly #options: WatchDutyOptions;
  readonly #election: DirectoryWatcherElection;
  #routerCount = 1;

  constructor(options: WatchDutyOptions) {
    this.#options = options;
    this.#election = new DirectoryWatcherElection(options.nodeId);
    this.#applyPace();
  }

  /** Whether this router watches the endpoints for others as well. */
  get isWatcher(): boolean {
    return this.#election.role !== "follower";
  }

  /** Whether this router may report that its view is up to date. */
  get isConfirmed(): boolean {
    const { configs, endpoints } = this.#options;
    return this.isWatcher && endpoints.isFollowing &&
      (this.#election.role !== "first" || configs.isFollowing);
  }

  /** Whether this router may report that its configuration is up to date. */
  get confirmsConfig(): boolean {
    return this.#election.role === "first" && this.#options.configs.isFollowing;
  }

  /** Records that another router watches the directory and gets answers. */
  recordWatcher(nodeId: string): void {
    this.#election.recordWatcher(nodeId, this.#options.clock.nowMs());
  }

  /** Records that a router is disconnected. */
  removeWatcher(nodeId: string): void {
    this.#election.removeWatcher(nodeId);
  }

  /**
   * Decides again how this router watches. Must be called periodically.
   *
   * @param routerCount Routers of the fleet, this one included.
   */
  tick(routerCount: number): void {
    this.#routerCount = routerCount;
    const before = this.#election.role;
    const role = this.#election.decide(
      routerCount,
      this.#options.clock.nowMs(),
    );
    this.#applyPace();
    if (role !== before) {
      this.#options.logger.log("watch_duty_changed", {
        watching: role !== "follower",
        role,
        routers: routerCount,
      });
      this.#changeRole(before, role);
    }
    this.#pauseIfNotNeeded(role);
  }

  #changeRole(before: WatchRole, role: WatchRole): void {
    const { configs, endpoints, renewConnections } = this.#options;
    if (before === "follower") {
      endpoints.resume();
      // The pending watches may have fallen silent together with the reports.
      renewConnections("no router reports that it watches the directory");
    } else if (role === "first") {
      configs.restart();
    }
  }

  #pauseIfNotNeeded(role: WatchRole): void {
    const { endpoints, onWatchPaused } = this.#options;
    const needed = role !== "follower" ||
      !this.#election.isShared(this.#routerCount);
    if (needed) {
      endpoints.resume();
    } else if (endpoints.pause()) {
      onWatchPaused();
    }
  }

  #applyPace(): void {
    const { configs, endpoints } = this.#options;
    const { role } = this.#election;
    configs.setPace(this.#paceOf(role === "first"));
    endpoints.setPace(this.#paceOf(role !== "follower"));
  }

  #paceOf(confirms: boolean): WatchPace {
    return {
      waitMs: confirms
        ? confirmingWaitMs(this.#options.maxDirectoryAgeMs)
        : MAX_WATCH_WAIT_MS,
      batchDelayMs: this.#election.isShared(this.#routerCount)
        ? SHARED_BATCH_DELAY_MS
        : BATCH_DELAY_MS,
      maxCallAfterFailureMs: Math.round(
        this.#options.maxDirectoryAgeMs * CALL_AFTER_FAILURE_FRACTION,
      ),
    };
  }
}
