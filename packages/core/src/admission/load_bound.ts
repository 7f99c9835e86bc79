import type { Millis } from "../clock.js";
import type { EndpointLoad, PoolLoadTable } from "./pool_load_table.js";

/** Peers named in a refusal. */
export const MAX_ALTERNATIVES = 3;

/**
 * Time after a join in which the bound is not enforced: four rounds of the
 * digest exchange, after which the table knows a pool of today's size.
 */
export const JOIN_GRACE_MS: Millis = 2_000;

/** Largest pool in which a mean says too little to be a bound. */
const MAX_UNBOUNDED_POOL_SIZE = 2;

export interface LoadBoundOptions {
  /** Largest ratio of the load of an endpoint to the mean of its pool. */
  readonly multiple: number;
  /** One largest request; an endpoint may always carry this much. */
  readonly floorTokens: number;
  /** Most work that the endpoint can hold. */
  readonly capacityTokens: number;
}

/** Why a decision relied on the capacity limit alone, or that it did not. */
export type BoundRule =
  | "enforced"
  | "oversize"
  | "ignored"
  | "after_join"
  | "small_pool"
  | "unknown_pool";

export interface BoundDecision {
  readonly admitted: boolean;
  readonly rule: BoundRule;
  /** Whether the load with the new work is above the bound. */
  readonly aboveBound: boolean;
  /** Mean of the pool that counts this endpoint with the new work. */
  readonly poolMeanTokens: number;
  /** For a refusal: least loaded peers that the sidecar knows. */
  readonly alternatives: readonly EndpointLoad[];
}

export interface BoundRequest {
  readonly loadTokens: number;
  readonly workTokens: number;
  /** The bound is not enforced; used by baselines of the bench. */
  readonly ignoreBound?: boolean;
}

/** Numbers of decisions since the start. */
export interface BoundCounters {
  readonly admitted: Readonly<Record<BoundRule, number>>;
  readonly refusedByBound: number;
  readonly refusedByCapacity: number;
  /** Admissions above the bound, possible only where it is not enforced. */
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
 * Decides whether an endpoint may take more work:
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

  /** Takes over changed limits of the configuration. */
  setOptions(options: LoadBoundOptions): void {
    this.#options = options;
  }

  /** Notes that the endpoint joined the pool again. */
  recordJoin(nowMs: Millis): void {
    this.#joinedAtMs = nowMs;
  }

  /** Mean of the fresh, active endpoints of the pool and this endpoint. */
  poolMeanTokens(loadTokens: number, nowMs: Millis): number {
    const { freshLoadTokens, freshPeers } = this.#table.summarize(nowMs);
    return (freshLoadTokens + loadTokens) / (freshPeers + 1);
  }

  /** Decides on one request and counts the decision. */
  decide(request: BoundRequest, nowMs: Millis): BoundDecision {
    const { capacityTokens, floorTokens, multiple } = this.#options;
    const newLoadTokens = request.loadTokens + request.workTokens;
    const poolMeanTokens = this.poolMeanTokens(newLoadTokens, nowMs);
    const limitTokens = Math.max(multiple * poolMeanTokens, floorTokens);
    const aboveBound = newLoadTokens > limitTokens;
    const aboveCapacity = newLoadTokens > capacityTokens;
    const rule = this.#rule(request, aboveBound, nowMs);
    const admitted = !aboveCapacity && !(aboveBound && rule === "enforced");
    this.#count(admitted, aboveCapacity, aboveBound, rule);
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

  #rule(
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
   * A request above the floor breaks the bound wherever it goes, and would
   * never run. Endpoints that carry no more than the mean take it.
   */
  #isOversize(request: BoundRequest, nowMs: Millis): boolean {
    return request.workTokens > this.#options.floorTokens &&
      request.loadTokens <= this.poolMeanTokens(request.loadTokens, nowMs);
  }

  #count(
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
