import type { Millis } from "../clock.js";
import {
  type CacheAndLoadFacts,
  CacheAndLoadScore,
  type PlacementScore,
} from "../cost/index.js";
import { rankByRendezvous } from "../membership/index.js";
import type { DirectEndpoint } from "./direct_endpoint.js";

/**
 * Requests added to the load bound of an endpoint. Without this margin, the
 * bound would be 0 when the mean load is 0.
 */
const LOAD_BOUND_MARGIN = 2.5;

/** A failure rate that is based on fewer samples than this is ignored. */
const MIN_FAILURE_SAMPLES = 3;

/** An endpoint is avoided only if its failure rate is at least this. */
const HIGH_FAILURE_RATE = 0.3;

/**
 * An endpoint is avoided only if its failure rate is at least this multiple of
 * the median failure rate of the unsuspected endpoints.
 */
const FAILURE_RATE_MULTIPLE = 2;

/**
 * When endpoints are compared, an endpoint in another failure domain counts as
 * having this many more requests in flight.
 */
const CROSS_DOMAIN_COST = 2;

/** What the choice of an endpoint depends on, beside the endpoints. */
export interface ChoiceRequest extends CacheAndLoadFacts {
  /**
   * Requests with the same key share a prompt prefix. Undefined if the prompt
   * plays no part in the placement of the request.
   */
  readonly affinityKey: string | undefined;
  /** Failure domain of this router. */
  readonly failureDomain: string;
  /** Ids of the endpoints that this request has tried. */
  readonly triedEndpointIds: ReadonlySet<string>;
  /** Whether an endpoint of the pool may serve the request; all by default. */
  readonly isEligible?: (endpoint: DirectEndpoint) => boolean;
  /**
   * Whether the endpoint limits its requests itself or is cold. It then takes less
   * than its part of the load, and gets only requests that others would serve
   * worse. Not so by default.
   */
  readonly isLimited?: (endpoint: DirectEndpoint) => boolean;
  /** Load bound of an endpoint, as a multiple of the mean load of its pool. */
  readonly loadBoundMultiple: number;
  /**
   * Decides among endpoints within the load bound; {@link CacheAndLoadScore} by
   * default.
   */
  readonly score?: PlacementScore | undefined;
}

/** Why an endpoint was chosen; written to the log and to a metric. */
export type ChoiceReason =
  /**
   * The endpoint has cached part of the prompt, and no healthy one has more.
   */
  | "warm"
  /**
   * Another healthy endpoint has cached more of the prompt, but its load is
   * too high.
   */
  | "spilled"
  /** No healthy endpoint has cached any part of the prompt. */
  | "cold"
  /**
   * Chosen by load alone, because the request has no affinity key or all
   * healthy endpoints are over the load bound.
   */
  | "least_loaded"
  /** All endpoints are suspected, and the suspicion of this one ends first. */
  | "last_resort"
  /** The endpoint has a copy of the run that is resumed. */
  | "copy";

export interface Choice {
  readonly endpoint: DirectEndpoint;
  readonly reason: ChoiceReason;
  /** Known number of requests running or waiting at the endpoint. */
  readonly load: number;
  /** Mean load of the ready endpoints of the pool. */
  readonly meanLoad: number;
  /** Number of endpoints among which the choice was made. */
  readonly candidates: number;
  readonly cachedTokens: number;
}

/**
 * Chooses an endpoint of a pool for a request. Endpoints that have lapsed from
 * the directory are used only when no other is left. Returns undefined if the
 * request has tried all ready endpoints that may serve it.
 */
export function chooseEndpoint(
  pool: readonly DirectEndpoint[],
  request: ChoiceRequest,
  nowMs: Millis,
): Choice | undefined {
  const ready = pool.filter(({ isReady, lapsedUntilMs }) =>
    isReady && lapsedUntilMs === undefined
  );
  const usable = usableEndpoints(pool, ready, request);
  if (usable.length === 0) {
    return undefined;
  }
  const loads = new Map(
    usable.map((endpoint) => [endpoint, endpoint.load(nowMs)]),
  );
  const meanLoad = meanLoadOf(ready, request, loads, nowMs);
  const { endpoint, reason } = chooseUsable(
    usable,
    request,
    loads,
    meanLoad,
    nowMs,
  );
  return {
    endpoint,
    reason,
    load: loads.get(endpoint)!,
    meanLoad,
    candidates: usable.length,
    cachedTokens: request.cachedTokens(endpoint),
  };
}

/** Number of requests below which an endpoint is within the load bound. */
export function loadBoundOf(multiple: number, meanLoad: number): number {
  return multiple * meanLoad + LOAD_BOUND_MARGIN;
}

/** Ready endpoints that may serve the request; lapsed ones if there are no others. */
function usableEndpoints(
  pool: readonly DirectEndpoint[],
  ready: readonly DirectEndpoint[],
  request: ChoiceRequest,
): readonly DirectEndpoint[] {
  const isUntried = (endpoint: DirectEndpoint) =>
    !request.triedEndpointIds.has(endpoint.id) &&
    (request.isEligible?.(endpoint) ?? true);
  const untried = ready.filter(isUntried);
  return untried.length > 0
    ? untried
    : pool.filter((endpoint) =>
      endpoint.isReady &&
      endpoint.lapsedUntilMs !== undefined && isUntried(endpoint)
    );
}

/** Mean load of the ready endpoints that take a full part of it. */
function meanLoadOf(
  ready: readonly DirectEndpoint[],
  request: ChoiceRequest,
  loads: ReadonlyMap<DirectEndpoint, number>,
  nowMs: Millis,
): number {
  const loaded = orAll(
    ready.filter((endpoint) => !request.isLimited?.(endpoint)),
    ready,
  );
  const sum = sumOf(
    loaded,
    (endpoint) => loads.get(endpoint) ?? endpoint.load(nowMs),
  );
  return sum / Math.max(1, loaded.length);
}

/** Chooses one of the endpoints that may serve the request; must not be empty. */
function chooseUsable(
  usable: readonly DirectEndpoint[],
  request: ChoiceRequest,
  loads: ReadonlyMap<DirectEndpoint, number>,
  meanLoad: number,
  nowMs: Millis,
): Pick<Choice, "endpoint" | "reason"> {
  const healthy = withoutNeedlessLimits(
    withoutFailingEndpoints(usable, nowMs),
    request,
    loads,
  );
  if (healthy.length === 0) {
    const firstToRecover = minBy(
      usable,
      (endpoint) => endpoint.suspectedUntilMs(),
    );
    return { endpoint: firstToRecover, reason: "last_resort" };
  }
  if (request.affinityKey === undefined) {
    const cost = (endpoint: DirectEndpoint) =>
      loads.get(endpoint)! +
      (endpoint.record.failureDomain === request.failureDomain
        ? 0
        : CROSS_DOMAIN_COST) +
      endpoint.failureRate.rate(nowMs);
    return { endpoint: minBy(healthy, cost), reason: "least_loaded" };
  }
  const bound = loadBoundOf(request.loadBoundMultiple, meanLoad);
  const withinBound = healthy.filter((endpoint) =>
    loads.get(endpoint)! < bound
  );
  if (withinBound.length === 0) {
    const endpoint = minBy(healthy, (endpoint) => loads.get(endpoint)!);
    return { endpoint, reason: "least_loaded" };
  }
  const endpoint = bestByScore(
    withinBound,
    request.score ?? new CacheAndLoadScore(request),
    request.affinityKey,
    loads,
  );
  return { endpoint, reason: cacheReason(endpoint, healthy, request) };
}

function cacheReason(
  endpoint: DirectEndpoint,
  healthy: readonly DirectEndpoint[],
  { cachedTokens }: ChoiceRequest,
): ChoiceReason {
  const mostCached = Math.max(...healthy.map(cachedTokens));
  if (mostCached === 0) {
    return "cold";
  }
  return cachedTokens(endpoint) < mostCached ? "spilled" : "warm";
}

/**
 * Returns the endpoint with the highest score among those with room for the
 * request, or among all if none has room. Ties are broken by rendezvous order,
 * which is the same on all routers and spreads requests with different keys.
 */
function bestByScore(
  endpoints: readonly DirectEndpoint[],
  score: PlacementScore,
  affinityKey: string,
  loads: ReadonlyMap<DirectEndpoint, number>,
): DirectEndpoint {
  const candidates = orAll(
    endpoints.filter((endpoint) =>
      score.hasRoom(endpoint, loads.get(endpoint)!)
    ),
    endpoints,
  );
  const values = candidates.map((endpoint) =>
    score.valueOf(endpoint, loads.get(endpoint)!)
  );
  const best = Math.max(...values);
  const lowest = best - score.toleranceAt(best);
  const tied = candidates.filter((_, i) => values[i]! >= lowest);
  const [firstId] = rankByRendezvous(
    affinityKey,
    tied.map(({ id }) => id),
    1,
  );
  return tied.find(({ id }) => id === firstId)!;
}

/**
 * Returns the unsuspected endpoints without a high failure rate. A rate is high
 * if it is at least {@link HIGH_FAILURE_RATE} and at least {@link
 * FAILURE_RATE_MULTIPLE} times the median rate of the unsuspected endpoints. If
 * all of these rates are high, returns all unsuspected endpoints.
 */
function withoutFailingEndpoints(
  endpoints: readonly DirectEndpoint[],
  nowMs: Millis,
): DirectEndpoint[] {
  const unsuspected = endpoints.filter((endpoint) =>
    !endpoint.isSuspected(nowMs)
  );
  const rates = unsuspected.map((endpoint) => endpoint.failureRate.rate(nowMs));
  const median = [...rates].sort((a, b) => a - b)[
    Math.floor((rates.length - 1) / 2)
  ] ?? 0;
  const limit = Math.max(HIGH_FAILURE_RATE, FAILURE_RATE_MULTIPLE * median);
  const healthy = unsuspected.filter((endpoint, i) =>
    rates[i]! < limit ||
    endpoint.failureRate.samples(nowMs) < MIN_FAILURE_SAMPLES
  );
  return healthy.length > 0 ? healthy : unsuspected;
}

/**
 * Leaves out endpoints that limit their requests if one that does not has a free
 * slot and as much of the prompt cached. All are left if there is no such one.
 */
function withoutNeedlessLimits(
  endpoints: readonly DirectEndpoint[],
  { cachedTokens, isLimited }: ChoiceRequest,
  loads: ReadonlyMap<DirectEndpoint, number>,
): readonly DirectEndpoint[] {
  if (!isLimited || !endpoints.some(isLimited)) {
    return endpoints;
  }
  const free = endpoints.filter((endpoint) =>
    !isLimited(endpoint) &&
    loads.get(endpoint)! < (endpoint.record.slots ?? Infinity)
  );
  if (free.length === 0) {
    return endpoints;
  }
  const mostCached = Math.max(...free.map(cachedTokens));
  return endpoints.filter((endpoint) =>
    !isLimited(endpoint) || cachedTokens(endpoint) > mostCached
  );
}

function orAll<T>(some: readonly T[], all: readonly T[]): readonly T[] {
  return some.length > 0 ? some : all;
}

function sumOf<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((sum, item) => sum + value(item), 0);
}

function minBy<T>(items: readonly T[], value: (item: T) => number): T {
  return items.reduce((best, item) => value(item) < value(best) ? item : best);
}
