import { type Clock, type Millis, rankByRendezvous } from "@anvildeal/core";

/**
 * A router that has just started keeps no watch for this long. By then it knows
 * whether others watch.
 */
const START_MS: Millis = 2000;

/** A report that is older than this does not count. Reports come each 400 ms. */
const REPORT_TIMEOUT_MS: Millis = 1100;

/**
 * If no report names a position of the list for this long, other routers watch.
 * Routers that take over the watch of the endpoints name one sooner.
 */
const SUBSTITUTE_AFTER_MS: Millis = 3000;

/** Number of routers that watch if the watching routers do not read orders. */
const SUBSTITUTES = 2;

/** Key of the rendezvous ranking; must be the same in all routers. */
const SUBSTITUTE_RANKING_KEY = "evacuation watch";

export interface EvacuationDutyOptions {
  readonly nodeId: string;
  /** Whether this router watches the directory for the others. */
  readonly isWatcher: () => boolean;
  readonly clock: Clock;
}

/**
 * Decides whether this router watches the orders to evacuate. The routers that
 * watch the directory do; if these are of a version that does not read orders, the
 * first routers of a ranking among those that do.
 */
export class EvacuationDuty {
  readonly #options: EvacuationDutyOptions;
  readonly #startedMs: Millis;
  /** Routers that know the message `fleet_evacuations`. */
  readonly #peers = new Set<string>();
  /** When a watching router last named its confirmed position. */
  #lastReportMs: Millis | undefined;
  #isSubstitute = false;

  constructor(options: EvacuationDutyOptions) {
    this.#options = options;
    this.#startedMs = options.clock.nowMs();
  }

  /** The connected routers that read orders. */
  get peers(): ReadonlySet<string> {
    return this.#peers;
  }

  /** Whether this router reads changes for the others. */
  get isInCharge(): boolean {
    return this.#options.isWatcher() || this.#isSubstitute;
  }

  /** Whether this router keeps a watch. */
  get watches(): boolean {
    return this.isInCharge &&
      this.#options.clock.nowMs() - this.#startedMs >= START_MS;
  }

  /** Whether no other router reports that it watches the orders. */
  get isOnlyWatcher(): boolean {
    return this.#lastReportMs === undefined ||
      this.#options.clock.nowMs() - this.#lastReportMs > REPORT_TIMEOUT_MS;
  }

  /** Decides again. Must be called periodically. */
  tick(): void {
    const { clock, nodeId } = this.#options;
    const sinceMs = this.#lastReportMs ?? this.#startedMs;
    this.#isSubstitute = clock.nowMs() - sinceMs >= SUBSTITUTE_AFTER_MS &&
      rankByRendezvous(
        SUBSTITUTE_RANKING_KEY,
        [nodeId, ...this.#peers],
        SUBSTITUTES,
      ).includes(nodeId);
  }

  /** Records a router that names a position. Returns whether it is a new one. */
  recordPeer(nodeId: string): boolean {
    const isNew = !this.#peers.has(nodeId);
    this.#peers.add(nodeId);
    return isNew;
  }

  /** Records the report of a router that watches the orders. */
  recordReport(): void {
    this.#lastReportMs = this.#options.clock.nowMs();
  }

  /** Forgets a router that is disconnected. */
  removePeer(nodeId: string): void {
    this.#peers.delete(nodeId);
  }
}
