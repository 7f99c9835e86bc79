import type { Millis } from "../clock.js";
import type { EndpointLoad, PoolLoadTable } from "./pool_load_table.js";

/** Maximum number of alternative peers that a refusal names. */
export const MAX_ALTERNATIVES = 3;

/**
 * The bound is not enforced for this long after the endpoint joined its pool.
 * The time allows four rounds of the load digest exchange, after which the load
 * table covers a pool of the present size.
 */
export const JOIN_GRACE_MS: Millis = 2_000;

/**
 * Pools with at most this many endpoints have no load bound, because a mean of
 * so few loads is not meaningful.
 */
const MAX_UNBOUNDED_POOL_SIZE = 2;

export interface LoadBoundOptions {
  /** Largest ratio of the load of an endpoint to the mean of its pool. */
  readonly multiple: number;
  /**
   * A load of up to this many tokens is always within the bound. A request with
   * more work than this is oversize.
   */
  readonly floorTokens: number;
  /**
   * Maximum load of the endpoint. Unlike the bound, this limit applies to every
   * request.
   */
  readonly capacityTokens: number;
}

/**
 * Tells whether the load bound was enforced for a request or, if not, why. The
 * capacity limit applies in either case.
 */
export type BoundRule =
  | "enforced"
  /**
   * The request alone has more work than `floorTokens`, so every endpoint might
   * refuse it. An endpoint whose load is at most the mean therefore does not
   * enforce the bound for it.
   */
  | "oversize"
  /** The request turns off the bound by {@link BoundRequest.ignoreBound}. */
  | "ignored"
  /** The endpoint joined its pool less than {@link JOIN_GRACE_MS} ago. */
  | "after_join"
  | "small_pool"
  /** Fewer than half of the known peers have a fresh entry. */
  | "unknown_pool";

export interface BoundDecision {
  readonly admitted: boolean;
  readonly rule: BoundRule;
  /** Whether the load including the request's work is above the bound. */
  readonly aboveBound: boolean;
  /** Mean load of the pool if this endpoint admitted the request. */
  readonly poolMeanTokens: number;
  /**
   * The least loaded known peers if the request is refused; otherwise empty.
   */
  readonly alternatives: readonly EndpointLoad[];
}

export interface BoundRequest {
  /** Load of the endpoint without the request. */
  readonly loadTokens: number;
  /** Estimated work of the request, in tokens. */
  readonly workTokens: number;
  /** Turns off the bound; used by baselines for benchmarks. */
  readonly ignoreBound?: boolean;
}

/** Numbers of decisions since the {@link LoadBound} was created. */
export interface BoundCounters {
  readonly admitted: Readonly<Record<BoundRule, number>>;
  readonly refusedByBound: number;
  readonly refusedByCapacity: number;
  /** Requests admitted above the bound; always 0 for the rule `enforced`. */
  readonly exceeded: Readonly<Record<BoundRule, number>>;
}

const NO_DECISIONS: Readonly<Record<BoundRule, number>> = {
  enforced: 0,
  oversize: 0,
  ignored: 0,
  after_join: 0,
  small_pool: 0,
  unknown_pool: 0,
};

/**
 * Decides whether an endpoint may accept more work:
 * `load + work <= max(multiple * mean, floor)`.
 */
export class LoadBound {
  readonly #table: PoolLoadTable;
  readonly #admitted = { ...NO_DECISIONS };
  readonly #exceeded = { ...NO_DECISIONS };
  #options: LoadBoundOptions;
  #joinedAtMs: Millis;
  #refusedByBound = 0;
  #refusedByCapacity = 0;

  constructor(
    options: LoadBoundOptions,
    table: PoolLoadTable,
    joinedAtMs: Millis,
  ) {
    this.#options = options;
    this.#table = table;
    this.#joinedAtMs = joinedAtMs;
  }

  get counters(): BoundCounters {
    return {
      admitted: { ...this.#admitted },
      refusedByBound: this.#refusedByBound,
      refusedByCapacity: this.#refusedByCapacity,
      exceeded: { ...this.#exceeded },
    };
  }

  /** Sets the limits after a change of the configuration. */
  setOptions(options: LoadBoundOptions): void {
    this.#options = options;
  }

  /** Records that the endpoint joined the pool again. */
  recordJoin(nowMs: Millis): void {
    this.#joinedAtMs = nowMs;
  }

  /**
   * Mean load of this endpoint and of the active peers with a fresh entry. The
   * load of this endpoint is `loadTokens`.
   */
  poolMeanTokens(loadTokens: number, nowMs: Millis): number {
    const { freshLoadTokens, freshPeers } = this.#table.summarize(nowMs);
    return (freshLoadTokens + loadTokens) / (freshPeers + 1);
  }

  /**
   * Decides whether this endpoint may admit the request under the load bound,
   * and counts the outcome.
   */
  decide(request: BoundRequest, nowMs: Millis): BoundDecision {
    const { capacityTokens, floorTokens, multiple } = this.#options;
    const newLoadTokens = request.loadTokens + request.workTokens;
    const poolMeanTokens = this.poolMeanTokens(newLoadTokens, nowMs);
    const limitTokens = Math.max(multiple * poolMeanTokens, floorTokens);
    const aboveBound = newLoadTokens > limitTokens;
    const aboveCapacity = newLoadTokens > capacityTokens;
    const rule = this.#selectRule(request, aboveBound, nowMs);
    const admitted = !aboveCapacity && !(aboveBound && rule === "enforced");
    this.#recordDecision(admitted, aboveCapacity, aboveBound, rule);
    return {
      admitted,
      rule,
      aboveBound,
      poolMeanTokens,
      alternatives: admitted
        ? []
        : this.#table.leastLoaded(MAX_ALTERNATIVES, nowMs),
    };
  }

  #selectRule(
    request: BoundRequest,
    aboveBound: boolean,
    nowMs: Millis,
  ): BoundRule {
    if (request.ignoreBound) {
      return "ignored";
    }
    if (nowMs - this.#joinedAtMs < JOIN_GRACE_MS) {
      return "after_join";
    }
    const { freshPeers, knownPeers } = this.#table.summarize(nowMs);
    if (knownPeers + 1 <= MAX_UNBOUNDED_POOL_SIZE) {
      return "small_pool";
    }
    if (2 * freshPeers < knownPeers) {
      return "unknown_pool";
    }
    return aboveBound && this.#isOversize(request, nowMs)
      ? "oversize"
      : "enforced";
  }

  /**
   * Whether this endpoint must accept the request above the bound. If every
   * endpoint refused a request that is larger than the floor, the request would
   * never run. Endpoints whose load is at most the mean therefore accept it.
   */
  #isOversize(request: BoundRequest, nowMs: Millis): boolean {
    return request.workTokens > this.#options.floorTokens &&
      request.loadTokens <= this.poolMeanTokens(request.loadTokens, nowMs);
  }

  #recordDecision(
    admitted: boolean,
    aboveCapacity: boolean,
    aboveBound: boolean,
    rule: BoundRule,
  ): void {
    if (admitted) {
      this.#admitted[rule]++;
      if (aboveBound) {
        this.#exceeded[rule]++;
      }
    } else if (aboveCapacity) {
      this.#refusedByCapacity++;
    } else {
      this.#refusedByBound++;
    }
  }
}
