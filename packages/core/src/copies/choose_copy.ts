// Decides which runs are copied to a second endpoint while they run, and to which.

import type { Millis } from "../clock.js";
import { isCold } from "../cold/cold_limit.js";
import { loadBoundOf } from "../direct/choose_endpoint.js";
import type { DirectEndpoint } from "../direct/direct_endpoint.js";
import type { CallHead } from "../direct/direct_event.js";
import {
  type ActiveRequest,
  type DirectState,
  hasUncertainVersion,
} from "../direct/direct_state.js";
import { isAvailable } from "../direct/endpoint_availability.js";
import { rankByRendezvous } from "../membership/index.js";
import { hostOf } from "../socket_address.js";

/** A larger copy displaces more of other chats' caches than it protects. */
const MAX_COPIED_TOKENS = 4096;

/**
 * Fraction of an endpoint's memory that the copies of all routers may take, as
 * estimated from those of this router.
 */
const MAX_COPIES_FRACTION = 0.25;

const MOST_URGENT = 0;

/** Load of the pool when the endpoint of the run was chosen. */
export interface PoolLoad {
  readonly meanLoad: number;
  readonly loadBoundMultiple: number;
}

/** Memory that the copy of a call's run takes; undefined if that is not known. */
export function copiedTokensOf(
  { lengthHintTokens, outputTokens, promptTokens }: CallHead,
): number | undefined {
  const maxTokens = outputTokens > 0 ? outputTokens : undefined;
  const expectedTokens = lengthHintTokens === undefined
    ? maxTokens
    : Math.min(lengthHintTokens, maxTokens ?? lengthHintTokens);
  return expectedTokens === undefined || promptTokens === 0
    ? undefined
    : promptTokens + expectedTokens;
}

/**
 * Endpoint that is to hold a copy of the run that starts at `source`; undefined if
 * the run is not copied.
 */
export function chooseCopyHolder(
  state: DirectState,
  request: ActiveRequest,
  source: DirectEndpoint,
  load: PoolLoad,
  nowMs: Millis,
): DirectEndpoint | undefined {
  const { call: { callId }, service } = request;
  const tokens = mayBeCopied(state, request, nowMs)
    ? copiedTokensOf(request.call)
    : undefined;
  if (
    tokens === undefined || tokens > MAX_COPIED_TOKENS ||
    callId === undefined || hasUncertainVersion(state, source, nowMs)
  ) {
    return undefined;
  }
  const suits = (endpoint: DirectEndpoint) =>
    mayHold(state, request, source, endpoint, nowMs) &&
    hasRoom(state, endpoint, tokens, load, nowMs);
  // Copies in the same domain cost no traffic between domains.
  const isNear = ({ record }: DirectEndpoint) =>
    record.failureDomain === source.record.failureDomain;
  const pool = state.directory.ofService(service);
  return firstInOrder(callId, pool.filter(isNear), suits) ??
    firstInOrder(callId, pool.filter((each) => !isNear(each)), suits);
}

/** First endpoint in the rendezvous order of a call's id that suits. */
function firstInOrder(
  callId: string,
  endpoints: readonly DirectEndpoint[],
  suits: (endpoint: DirectEndpoint) => boolean,
): DirectEndpoint | undefined {
  const byId = new Map(endpoints.map((each) => [each.id, each] as const));
  for (const id of rankByRendezvous(callId, [...byId.keys()])) {
    const endpoint = byId.get(id)!;
    if (suits(endpoint)) {
      return endpoint;
    }
  }
  return undefined;
}

/**
 * Whether runs of the request are copied: only those of urgent streams that cannot
 * be repeated, and only while crashes are likely, since the transfer of each copy
 * is charged. A stream that the caller takes up begins anew on such routes, so
 * the events of its answer do not follow the id that the caller sent. A trial is
 * to crash no second endpoint.
 */
function mayBeCopied(
  { configIndex, options, recentCrashes }: DirectState,
  { account, call, isTrial, route, service }: ActiveRequest,
  nowMs: Millis,
): boolean {
  return (configIndex?.service(service)?.engine?.copiesRuns ?? false) &&
    (options.alwaysCopiesRuns || recentCrashes.areLikely(service, nowMs)) &&
    route.callKind === "stream" && !route.resumable &&
    (account?.priority ?? route.priority) === MOST_URGENT &&
    call.lastEventId === undefined && !isTrial;
}

/** Whether the endpoint may hold a copy, whatever its load. */
function mayHold(
  state: DirectState,
  { triedEndpointIds }: ActiveRequest,
  source: DirectEndpoint,
  endpoint: DirectEndpoint,
  nowMs: Millis,
): boolean {
  const { id, isReady, lapsedUntilMs, limit, record } = endpoint;
  return endpoint !== source && !triedEndpointIds.has(id) &&
    isReady && lapsedUntilMs === undefined &&
    record.softwareVersion === source.record.softwareVersion &&
    hostOf(record.address) !== hostOf(source.record.address) &&
    limit.limitPerS === undefined && !endpoint.isSuspected(nowMs) &&
    !isCold(state, endpoint, nowMs) &&
    !hasUncertainVersion(state, endpoint, nowMs) &&
    !isEvacuated(state, record.failureDomain) &&
    isAvailable(state, endpoint, nowMs);
}

/**
 * Whether load and memory of the endpoint leave room for a copy. The copies of
 * other routers are not known; each router is assumed to have as many.
 */
function hasRoom(
  { configIndex, fleetSize }: DirectState,
  endpoint: DirectEndpoint,
  tokens: number,
  { loadBoundMultiple, meanLoad }: PoolLoad,
  nowMs: Millis,
): boolean {
  const { copies, record } = endpoint;
  const engine = configIndex?.service(record.service)?.engine;
  const load = endpoint.load(nowMs);
  const slots = record.slots ?? engine?.slots ?? Infinity;
  const maxTokens = (engine?.cacheTokens ?? Infinity) * MAX_COPIES_FRACTION;
  const heldTokens = copies.tokens(nowMs);
  return load < slots && load < loadBoundOf(loadBoundMultiple, meanLoad) &&
    (heldTokens === 0 && tokens <= maxTokens ||
      (heldTokens + tokens) * fleetSize.routers <= maxTokens);
}

function isEvacuated(
  { evacuations }: DirectState,
  failureDomain: string,
): boolean {
  return !evacuations.isEmpty &&
    evacuations.failureDomains.includes(failureDomain);
}
