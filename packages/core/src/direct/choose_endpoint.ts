import type { Millis } from "../clock.js";
import { rankByRendezvous } from "../membership/index.js";
import type { DirectEndpoint } from "./direct_endpoint.js";

/** Requests added to the load bound, so that it is not 0 when the mean is 0. */
const LOAD_ALLOWANCE = 2.5;

/** Samples below which a failure rate is ignored. */
const MIN_FAILURE_SAMPLES = 3;

/** An endpoint with a lower failure rate than this is not avoided. */
const HIGH_FAILURE_RATE = 0.3;

/** An endpoint is avoided only at this multiple of the pool's median rate. */
const FAILURE_RATE_MULTIPLE = 2;

/** Cost of an endpoint in another failure domain, in requests in flight. */
const CROSS_DOMAIN_COST = 2;

/** Cached prompt tokens that weigh as much as one request in flight. */
const TOKENS_PER_REQUEST = 100;

/**
 * Loads are rounded down to a multiple of this, in requests, so that routers
 * with slightly different load reports make the same choice.
 */
const LOAD_STEP = 2;

export interface ChoiceRequest {
  /** Requests with the same key share a prompt prefix; undefined for others. */
  readonly affinityKey: string | undefined;
  /** Prompt tokens that the endpoint has cached. */
  readonly cachedTokens: (endpoint: DirectEndpoint) => number;
  /** Failure domain of this router. */
  readonly failureDomain: string;
  /** Ids of the endpoints that this request has tried. */
  readonly tried: ReadonlySet<string>;
  /** Load bound of an endpoint, as a multiple of the mean load of its pool. */
  readonly loadMultiple: number;
}

export type ChoiceReason =
  /** No other healthy endpoint has cached more of the prompt. */
  | "warm"
  /** Another healthy endpoint, such as one over the bound, has cached more. */
  | "spilled"
  /** No healthy endpoint has cached the prompt's prefix. */
  | "cold"
  /** Not chosen by cache: no affinity key, or all are over the load bound. */
  | "least_loaded"
  /** All are suspected; the suspicion of this one ends first. */
  | "last_resort";

export interface Choice {
  readonly endpoint: DirectEndpoint;
  readonly reason: ChoiceReason;
  /** Requests running or waiting at the endpoint, as far as is known. */
  readonly load: number;
  /** Mean load of the ready endpoints of the pool. */
  readonly meanLoad: number;
  /** Number of endpoints that could be chosen. */
  readonly candidates: number;
  readonly cachedTokens: number;
}

/**
 * Chooses the endpoint of a pool for a request. Endpoints that lapsed from the
 * directory are used only when no other is left; returns undefined when all
 * were tried.
 */
export function chooseEndpoint(
  pool: readonly DirectEndpoint[],
  request: ChoiceRequest,
  nowMs: Millis,
): Choice | undefined {
  const ready = pool.filter(({ record, expiresAtMs }) =>
    record.state === "ready" && expiresAtMs === undefined
  );
  const untried = ready.filter(({ id }) => !request.tried.has(id));
  const usable = untried.length > 0
    ? untried
    : pool.filter(({ id, record, expiresAtMs }) =>
      record.state === "ready" && expiresAtMs !== undefined &&
      !request.tried.has(id)
    );
  if (usable.length === 0) {
    return undefined;
  }
  const loads = new Map(
    usable.map((endpoint) => [endpoint, endpoint.load(nowMs)]),
  );
  const meanLoad =
    sumOf(ready, (endpoint) => loads.get(endpoint) ?? endpoint.load(nowMs)) /
    Math.max(1, ready.length);
  const choose = (endpoint: DirectEndpoint, reason: ChoiceReason): Choice => ({
    endpoint,
    reason,
    load: loads.get(endpoint)!,
    meanLoad,
    candidates: usable.length,
    cachedTokens: request.cachedTokens(endpoint),
  });
  const healthy = withoutFailingEndpoints(usable, nowMs);
  if (healthy.length === 0) {
    const soonest = minBy(usable, (endpoint) => endpoint.suspectedUntilMs());
    return choose(soonest, "last_resort");
  }
  if (request.affinityKey === undefined) {
    const cost = (endpoint: DirectEndpoint) =>
      loads.get(endpoint)! +
      (endpoint.record.failureDomain === request.failureDomain
        ? 0
        : CROSS_DOMAIN_COST) +
      endpoint.failures.rate(nowMs);
    return choose(minBy(healthy, cost), "least_loaded");
  }
  const bound = request.loadMultiple * meanLoad + LOAD_ALLOWANCE;
  const withinBound = healthy.filter((endpoint) =>
    loads.get(endpoint)! < bound
  );
  if (withinBound.length === 0) {
    return choose(
      minBy(healthy, (endpoint) => loads.get(endpoint)!),
      "least_loaded",
    );
  }
  const endpoint = bestByCacheAndLoad(
    withinBound,
    request,
    request.affinityKey,
    loads,
  );
  const mostCached = Math.max(...healthy.map(request.cachedTokens));
  const cached = request.cachedTokens(endpoint);
  return choose(
    endpoint,
    mostCached === 0 ? "cold" : cached < mostCached ? "spilled" : "warm",
  );
}

/**
 * The endpoint with the best balance of cached tokens and load. Ties are broken
 * by rendezvous order, which is the same on all routers.
 */
function bestByCacheAndLoad(
  endpoints: readonly DirectEndpoint[],
  request: ChoiceRequest,
  affinityKey: string,
  loads: ReadonlyMap<DirectEndpoint, number>,
): DirectEndpoint {
  const scoreOf = (endpoint: DirectEndpoint) =>
    request.cachedTokens(endpoint) -
    Math.floor(loads.get(endpoint)! / LOAD_STEP) * LOAD_STEP *
      TOKENS_PER_REQUEST;
  const scores = new Map(
    endpoints.map((endpoint) => [endpoint, scoreOf(endpoint)]),
  );
  const best = Math.max(...scores.values());
  const tied = endpoints.filter((endpoint) => scores.get(endpoint) === best);
  const [firstId] = rankByRendezvous(
    affinityKey,
    tied.map(({ id }) => id),
    1,
  );
  return tied.find(({ id }) => id === firstId)!;
}

/**
 * Endpoints that are not suspected and do not fail far more often than their
 * pool. Returns all unsuspected ones if every one of them fails that often.
 */
function withoutFailingEndpoints(
  endpoints: readonly DirectEndpoint[],
  nowMs: Millis,
): DirectEndpoint[] {
  const unsuspected = endpoints.filter((endpoint) =>
    !endpoint.isSuspected(nowMs)
  );
  const rates = unsuspected.map((endpoint) => endpoint.failures.rate(nowMs));
  const median = [...rates].sort((a, b) => a - b)[
    Math.floor((rates.length - 1) / 2)
  ] ?? 0;
  const limit = Math.max(HIGH_FAILURE_RATE, FAILURE_RATE_MULTIPLE * median);
  const healthy = unsuspected.filter((endpoint, i) =>
    rates[i]! < limit || endpoint.failures.samples(nowMs) < MIN_FAILURE_SAMPLES
  );
  return healthy.length > 0 ? healthy : unsuspected;
}

function sumOf<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((sum, item) => sum + value(item), 0);
}

function minBy<T>(items: readonly T[], value: (item: T) => number): T {
  return items.reduce((best, item) => value(item) < value(best) ? item : best);
}
