import type { Millis } from "../clock.js";
import { rendezvousScore } from "../membership/index.js";

/** Fraction of the bound within which the requests to a domain move away. */
const RAMP_FRACTION = 0.3;

/**
 * Fraction of the bound after which no request is sent, counted from the earliest
 * time at which the order can have been given. The rest is for requests that are
 * placed and not yet written.
 */
const CLOSED_FRACTION = 0.8;

/** `rendezvousScore` returns integers from 0 to just below this limit. */
const RENDEZVOUS_SCORE_LIMIT = 2 ** 53;

/** Hash key; must be the same in all routers, so that a chat moves once. */
const SHARE_KEY = "evacuation";

/** An order to send no more requests to the endpoints of a failure domain. */
interface EvacuationOrder {
  readonly learnedMs: Millis;
  /** From this time on no request is sent there. */
  readonly closedMs: Millis;
  /** Whether the end of this router's last request there was reported. */
  isComplete: boolean;
}

/** Differences between two lists of ordered failure domains. */
export interface EvacuationChange {
  readonly ordered: readonly string[];
  readonly withdrawn: readonly string[];
}

/**
 * Failure domains that operators have ordered to evacuate. The share of requests
 * that may still be sent to one falls linearly to 0, so that the endpoints of the
 * other domains do not get all of them at once.
 */
export class Evacuations {
  readonly #evacuateMs: Millis | undefined;
  readonly #orders = new Map<string, EvacuationOrder>();

  /**
   * @param evacuateMs Bound from the order on, after which no request may reach
   *   the domain; undefined if there are no such orders.
   */
  constructor(evacuateMs: Millis | undefined) {
    this.#evacuateMs = evacuateMs;
  }

  /** Whether there is no order. */
  get isEmpty(): boolean {
    return this.#orders.size === 0;
  }

  /** The failure domains with an order. */
  get failureDomains(): readonly string[] {
    return [...this.#orders.keys()];
  }

  /**
   * Replaces the list of ordered failure domains. Orders that were known keep the
   * time at which they were learned.
   *
   * @param maxAgeMs Longest time since new orders may have been given. The later
   *   they are learned, the sooner the requests move; without delay by default.
   */
  apply(
    failureDomains: readonly string[],
    nowMs: Millis,
    maxAgeMs: Millis = Number.POSITIVE_INFINITY,
  ): EvacuationChange {
    const evacuateMs = this.#evacuateMs;
    if (evacuateMs === undefined) {
      return { ordered: [], withdrawn: [] };
    }
    const listed = new Set(failureDomains);
    const ordered = [...listed].filter((name) => !this.#orders.has(name));
    const withdrawn = this.failureDomains.filter((name) => !listed.has(name));
    for (const name of withdrawn) {
      this.#orders.delete(name);
    }
    const rampMs = Math.max(
      0,
      Math.min(
        evacuateMs * RAMP_FRACTION,
        evacuateMs * CLOSED_FRACTION - maxAgeMs,
      ),
    );
    for (const name of ordered) {
      this.#orders.set(name, {
        learnedMs: nowMs,
        closedMs: nowMs + rampMs,
        isComplete: false,
      });
    }
    return { ordered, withdrawn };
  }

  /**
   * Whether a request may be sent to an endpoint of the failure domain.
   *
   * @param key Requests with the same key move at the same time.
   */
  allows(failureDomain: string, key: string, nowMs: Millis): boolean {
    const order = this.#orders.get(failureDomain);
    if (!order) {
      return true;
    }
    const { closedMs, learnedMs } = order;
    if (nowMs >= closedMs) {
      return false;
    }
    const share = rendezvousScore(SHARE_KEY, key) / RENDEZVOUS_SCORE_LIMIT;
    return share >= (nowMs - learnedMs) / (closedMs - learnedMs);
  }

  /** Whether nothing at all may be sent to the failure domain any more. */
  isClosed(failureDomain: string, nowMs: Millis): boolean {
    const order = this.#orders.get(failureDomain);
    return order !== undefined && nowMs >= order.closedMs;
  }

  /**
   * Returns the closed failure domains without running requests that were not
   * returned before.
   *
   * @param isRunning Whether a request of this router runs in the domain.
   */
  takeCompleted(
    nowMs: Millis,
    isRunning: (failureDomain: string) => boolean,
  ): string[] {
    const completed = [...this.#orders].filter(([name, order]) =>
      !order.isComplete && nowMs >= order.closedMs && !isRunning(name)
    );
    for (const [, order] of completed) {
      order.isComplete = true;
    }
    return completed.map(([name]) => name);
  }
}
