import type { Millis } from "../clock.js";
import { rankByRendezvous } from "../membership/index.js";
import type { DirectEndpoint } from "./direct_endpoint.js";

/** Requests that every endpoint may hold, whatever the mean is. */
const LOAD_FLOOR = 2.5;

/** Samples from which a failure rate is believed. */
const MIN_SAMPLES = 3;

/** Failure rate from which an endpoint is avoided. */
const HIGH_FAILURE_RATE = 0.3;

/** An endpoint is avoided only if it fails this much more than its pool. */
const FAILURE_RATE_MULTIPLE = 2;

/** Requests in flight that crossing to another failure domain is worth. */
const DOMAIN_COST = 2;

/**
 * Prompt tokens that one more request in flight outweighs. Loads are compared
 * in steps, so that routers whose views differ slightly choose the same.
 */
const TOKENS_PER_REQUEST = 100;
const LOAD_STEP = 2;

export interface ChoiceRequest {
  /** Requests with the same key share a prompt start; absent for others. */
  readonly affinityKey: string | undefined;
  /** Prompt tokens that the endpoint holds in its cache. */
  readonly cachedTokens: (endpoint: DirectEndpoint) => number;
  readonly failureDomain: string;
  /** Endpoints that this request has tried. */
  readonly tried: ReadonlySet<string>;
  /** Load of an endpoint over the mean of its pool that is kept. */
  readonly loadMultiple: number;
}

export type ChoiceReason =
  /** Holds most of the prompt. */
  | "warm"
  /** Holds less of the prompt than endpoints that are over the load bound. */
  | "spilled"
  /** No endpoint holds the prompt's start. */
  | "cold"
  | "least_loaded"
  | "last_resort";

export interface Choice {
  readonly endpoint: DirectEndpoint;
  readonly reason: ChoiceReason;
  readonly load: number;
  readonly meanLoad: number;
  readonly candidates: number;
  readonly cachedTokens: number;
}

/** Chooses the endpoint of a pool for a request, if there is one. */
export function chooseEndpoint(
  pool: readonly DirectEndpoint[],
  request: ChoiceRequest,
  nowMs: Millis,
): Choice | undefined {
  const ready = pool.filter(({ record, lapsedUntilMs }) =>
    record.state === "ready" && lapsedUntilMs === undefined
  );
  const open = ready.filter(({ id }) => !request.tried.has(id));
  const usable = open.length > 0
    ? open
    : pool.filter(({ id, record, lapsedUntilMs }) =>
      record.state === "ready" && lapsedUntilMs !== undefined &&
      !request.tried.has(id)
    );
  if (usable.length === 0) {
    return undefined;
  }
  const loads = new Map(usable.map((view) => [view, view.load(nowMs)]));
  const meanLoad = sumOf(ready, (view) => loads.get(view) ?? view.load(nowMs)) /
    Math.max(1, ready.length);
  const choose = (endpoint: DirectEndpoint, reason: ChoiceReason): Choice => ({
    endpoint,
    reason,
    load: loads.get(endpoint)!,
    meanLoad,
    candidates: usable.length,
    cachedTokens: request.cachedTokens(endpoint),
  });
  const sound = withoutFailing(usable, nowMs);
  if (sound.length === 0) {
    const soonest = minBy(usable, (view) => view.suspectedUntil());
    return choose(soonest, "last_resort");
  }
  if (request.affinityKey === undefined) {
    const cost = (view: DirectEndpoint) =>
      loads.get(view)! +
      (view.record.failureDomain === request.failureDomain ? 0 : DOMAIN_COST) +
      view.failures.rate(nowMs);
    return choose(minBy(sound, cost), "least_loaded");
  }
  const bound = request.loadMultiple * meanLoad + LOAD_FLOOR;
  const within = sound.filter((view) => loads.get(view)! < bound);
  if (within.length === 0) {
    return choose(minBy(sound, (view) => loads.get(view)!), "least_loaded");
  }
  const endpoint = warmest(within, request, request.affinityKey, loads);
  const mostCached = Math.max(...sound.map(request.cachedTokens));
  const cached = request.cachedTokens(endpoint);
  return choose(
    endpoint,
    mostCached === 0 ? "cold" : cached < mostCached ? "spilled" : "warm",
  );
}

/** Weighs cached tokens against load; equal ones follow a stable order. */
function warmest(
  views: readonly DirectEndpoint[],
  request: ChoiceRequest,
  affinityKey: string,
  loads: ReadonlyMap<DirectEndpoint, number>,
): DirectEndpoint {
  const gainOf = (view: DirectEndpoint) =>
    request.cachedTokens(view) -
    Math.floor(loads.get(view)! / LOAD_STEP) * LOAD_STEP * TOKENS_PER_REQUEST;
  const gains = new Map(views.map((view) => [view, gainOf(view)]));
  const best = Math.max(...gains.values());
  const equal = views.filter((view) => gains.get(view) === best);
  const [firstId] = rankByRendezvous(
    affinityKey,
    equal.map(({ id }) => id),
    1,
  );
  return equal.find(({ id }) => id === firstId)!;
}

/** Endpoints that are reachable and do not fail far more than their pool. */
function withoutFailing(
  views: readonly DirectEndpoint[],
  nowMs: Millis,
): DirectEndpoint[] {
  const reachable = views.filter((view) => !view.isSuspected(nowMs));
  const rates = reachable.map((view) => view.failures.rate(nowMs));
  const median = [...rates].sort((a, b) => a - b)[
    Math.floor((rates.length - 1) / 2)
  ] ?? 0;
  const limit = Math.max(HIGH_FAILURE_RATE, FAILURE_RATE_MULTIPLE * median);
  const sound = reachable.filter((view, i) =>
    rates[i]! < limit || view.failures.samples(nowMs) < MIN_SAMPLES
  );
  return sound.length > 0 ? sound : reachable;
}

function sumOf<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((sum, item) => sum + value(item), 0);
}

function minBy<T>(items: readonly T[], value: (item: T) => number): T {
  return items.reduce((best, item) => value(item) < value(best) ? item : best);
}
