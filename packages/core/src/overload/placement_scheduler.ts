import type { Millis } from "../clock.js";
import { DrainRate } from "./drain_rate.js";
import { type CallArrival, OverloadDetector } from "./overload_detector.js";
import { OverloadPeriod, type OverloadSummary } from "./overload_period.js";
import type { GroupShare } from "./service_credits.js";
import { WaitingQueue, type WaitingRequest } from "./waiting_queue.js";

/**
 * Requests are refused as if they were placed this many times faster than
 * measured, since one that could still be served must not be refused.
 */
const OPTIMISTIC_SPEED = 2;

/** Successive multiples of this are spread evenly over the interval from 0 to 1. */
const GOLDEN_FRACTION = (Math.sqrt(5) - 1) / 2;

/** What happens to a request that has arrived. */
export type ArrivalDecision =
  | { readonly type: "place" }
  | { readonly type: "wait" }
  /** It cannot be placed before its deadline. */
  | { readonly type: "refuse"; readonly retryAfterMs: Millis };

/** What to do in an iteration of the event loop. */
export interface PlacementTurn {
  /** Request to place now, if one still waits. */
  readonly request: WaitingRequest | undefined;
  /** Whether a period of overload begins. */
  readonly beginsPeriod: boolean;
}

/**
 * Decides when the requests of a router with a fraction of a core are placed. While
 * the router is behind, they wait, and one of them is placed in each iteration of
 * the event loop, so that responses in progress are served in between.
 */
export class PlacementScheduler {
  readonly #detector = new OverloadDetector();
  readonly #drainRate = new DrainRate();
  readonly #period = new OverloadPeriod();
  readonly #queue = new WaitingQueue();
  #objectiveMs: Millis | undefined;
  /** Whether requests still waited after one was placed in the last turn. */
  #isDraining = false;
  #arrivalTurnMs: Millis | undefined;
  #refusals = 0;
  #isTurnPending = false;

  /**
   * Sets the shortest latency objective of the routes. Without one, no request has
   * to wait.
   */
  setObjective(objectiveMs: Millis | undefined): void {
    this.#objectiveMs = objectiveMs;
  }

  get waitingCount(): number {
    return this.#queue.size;
  }

  /** The account that sent most of the requests that had to wait of late. */
  get largestAccount(): GroupShare | undefined {
    return this.#queue.largestAccount;
  }

  /**
   * Decides on a request that has arrived; one that is to wait is added.
   *
   * @param request Describes the request; called only if the router is behind.
   */
  arrive(
    arrival: CallArrival,
    request: () => WaitingRequest,
  ): ArrivalDecision {
    const objectiveMs = this.#objectiveMs;
    if (objectiveMs === undefined) {
      return { type: "place" };
    }
    const hasWaiting = this.#queue.size > 0;
    const { intervalMs } = this.#drainRate;
    this.#detector.observeCall(arrival, objectiveMs, intervalMs, hasWaiting);
    return this.#detector.isBehind
      ? this.#arriveBehind(arrival, request(), objectiveMs)
      : { type: "place" };
  }

  /** Whether the host is to begin a turn; true once until the turn begins. */
  requestTurn(): boolean {
    if (this.#isTurnPending || this.#queue.size === 0) {
      return false;
    }
    this.#isTurnPending = true;
    return true;
  }

  /**
   * Returns the request to place in this iteration of the event loop. It is one at
   * a time, because further placements make the iteration longer, and with it the
   * time until the router reads the answer to the request that is due first.
   *
   * @param lagMs Time since the previous iteration.
   */
  beginTurn(nowMs: Millis, lagMs: Millis): PlacementTurn {
    this.#isTurnPending = false;
    if (this.#isDraining) {
      this.#drainRate.observe(lagMs);
    }
    const request = this.#queue.next(this.#objectiveMs ?? 0, nowMs);
    const waiting = this.#queue.size;
    this.#isDraining = request !== undefined && waiting > 0;
    if (this.#objectiveMs !== undefined) {
      this.#detector.observeLag(lagMs, this.#objectiveMs, waiting > 0);
    }
    return {
      request,
      beginsPeriod: this.#period.recordTurn(
        nowMs,
        lagMs,
        request === undefined ? 0 : 1,
        waiting,
      ),
    };
  }

  /** Removes a request that has ended while it waited. */
  remove(key: number): void {
    this.#queue.remove(key);
  }

  /**
   * Called periodically. Begins a turn again if one was lost, and ends a period of
   * overload that is over.
   */
  endPeriod(nowMs: Millis): OverloadSummary | undefined {
    this.#isTurnPending = false;
    return this.#period.end(nowMs);
  }

  #arriveBehind(
    { nowMs, turnMs }: CallArrival,
    request: WaitingRequest,
    objectiveMs: Millis,
  ): ArrivalDecision {
    const isFirst = this.#queue.size === 0 && turnMs !== this.#arrivalTurnMs;
    this.#arrivalTurnMs = turnMs;
    // It has no time for another iteration, and nothing more urgent waits.
    if (isFirst && request.dueMs - nowMs <= objectiveMs) {
      return { type: "place" };
    }
    if (this.#isTooLate(request, objectiveMs, nowMs)) {
      this.#period.recordRefused();
      return { type: "refuse", retryAfterMs: this.#retryAfterMs() };
    }
    this.#queue.add(request, objectiveMs, nowMs);
    return { type: "wait" };
  }

  #isTooLate(
    request: WaitingRequest,
    objectiveMs: Millis,
    nowMs: Millis,
  ): boolean {
    const intervalMs = (this.#drainRate.intervalMs ?? 0) / OPTIMISTIC_SPEED;
    const leftMs = request.deadlineMs - nowMs;
    return this.#queue.size * intervalMs > leftMs &&
      this.#queue.countAheadOf(request, objectiveMs, nowMs) * intervalMs >
        leftMs;
  }

  /** Spreads the retries over the time in which the waiting requests are placed. */
  #retryAfterMs(): Millis {
    const intervalMs = this.#drainRate.intervalMs ?? 0;
    const fraction = (++this.#refusals * GOLDEN_FRACTION) % 1;
    return Math.ceil(intervalMs * (1 + this.#queue.size * fraction));
  }
}
