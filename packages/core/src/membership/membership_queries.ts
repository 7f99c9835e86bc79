import type { Millis } from "../clock.js";
import type { EndpointState } from "../wire/messages.js";
import { isDomainSuspected, isDraining } from "./instance_evidence.js";
import { UNLISTED_USE_MS } from "./instance_list.js";
import type { InstanceRecord, MembershipState } from "./membership_state.js";
import { rankByRendezvous } from "./rendezvous.js";

/**
 * Number of routers per failure domain that watch the store and poll the list.
 */
export const WATCHERS_PER_DOMAIN = 2;

/** What placement needs to know about an endpoint. */
export interface EndpointView {
  readonly endpointId: string;
  readonly pool: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly incarnation: number | undefined;
  /**
   * Time of the first frame of this incarnation, when its slow start begins.
   */
  readonly incarnationSinceMs: Millis;
  /**
   * Duration of the endpoint's latest suspicion (`suspicionMs`), halved by each
   * frame since then; 0 if there was no recent failure. Added to the estimated
   * time to first token.
   */
  readonly penaltyMs: Millis;
}

/** Why an endpoint is not offered for new work. */
export type UnusableReason =
  | "unknown"
  | "leaving"
  | "not_ready"
  | "unlisted"
  | "unstable"
  | "domain_suspected"
  | "suspected";

/**
 * Endpoints of a pool that may receive new work.
 *
 * If all of them are suspected, individually or as part of a failure domain,
 * they are returned nevertheless: a failed connection costs less than refusing
 * every request of the pool.
 *
 * @param excludedDomains Failure domains whose endpoints are left out.
 */
export function usableEndpoints(
  state: MembershipState,
  pool: string,
  nowMs: Millis,
  excludedDomains?: ReadonlySet<string>,
): EndpointView[] {
  const usable: EndpointView[] = [];
  const suspected: EndpointView[] = [];
  for (const id of state.idsByPool.get(pool) ?? []) {
    const record = state.instances.get(id)!;
    if (excludedDomains?.has(record.row.failureDomain)) {
      continue;
    }
    const reason = findUnusableReason(state, record, nowMs);
    if (reason === undefined) {
      usable.push(viewOf(record));
    } else if (reason === "suspected" || reason === "domain_suspected") {
      suspected.push(viewOf(record));
    }
  }
  return usable.length > 0 ? usable : suspected;
}

/** Why an endpoint is not offered for new work; undefined if it is offered. */
export function unusableReason(
  state: MembershipState,
  endpointId: string,
  nowMs: Millis,
): UnusableReason | undefined {
  const record = state.instances.get(endpointId);
  return record === undefined || record.row.role !== "endpoint"
    ? "unknown"
    : findUnusableReason(state, record, nowMs);
}

/** View of an endpoint, even if it is not usable; undefined if unknown. */
export function findEndpoint(
  state: MembershipState,
  endpointId: string,
): EndpointView | undefined {
  const record = state.instances.get(endpointId);
  return record?.row.role === "endpoint" ? viewOf(record) : undefined;
}

/**
 * Penalty for recent failures of an endpoint (`suspicionMs`); 0 if there were
 * none.
 */
export function endpointPenaltyMs(
  state: MembershipState,
  endpointId: string,
): Millis {
  return state.instances.get(endpointId)?.suspicionMs ?? 0;
}

/**
 * Ids of the routers that the list names as live and that this process does not
 * suspect. The calling router itself is included if it is listed.
 */
export function liveRouters(state: MembershipState, nowMs: Millis): string[] {
  return [...state.routerIds].filter((id) =>
    isRouterLive(state, state.instances.get(id)!, nowMs)
  );
}

/** The elected watchers of a failure domain, in rendezvous order. */
export function watchersOf(
  state: MembershipState,
  failureDomain: string,
  nowMs: Millis,
): string[] {
  const ids = liveRouters(state, nowMs).filter((id) =>
    state.instances.get(id)!.row.failureDomain === failureDomain
  );
  return rankByRendezvous(
    `watch/${failureDomain}`,
    ids,
    WATCHERS_PER_DOMAIN,
  );
}

/**
 * State that the current incarnation of an endpoint reported last; undefined if
 * it reported none.
 */
export function reportedState(
  state: MembershipState,
  endpointId: string,
): EndpointState | undefined {
  return state.instances.get(endpointId)?.reportedState;
}

function isRouterLive(
  state: MembershipState,
  record: InstanceRecord,
  nowMs: Millis,
): boolean {
  if (!record.listed || record.row.state !== "live" || isDraining(record)) {
    return false;
  }
  return record.row.instanceId === state.options.nodeId ||
    nowMs >= record.suspectedUntilMs;
}

function findUnusableReason(
  state: MembershipState,
  record: InstanceRecord,
  nowMs: Millis,
): UnusableReason | undefined {
  if (record.row.state === "leaving" || isDraining(record)) {
    return "leaving";
  }
  if (
    record.reportedState === "starting" || record.reportedState === "down"
  ) {
    return "not_ready";
  }
  if (!record.listed && !hasSentFrameRecently(record, nowMs)) {
    return "unlisted";
  }
  if (nowMs < record.unstableUntilMs) {
    return "unstable";
  }
  if (isDomainSuspected(state, record.row.failureDomain)) {
    return "domain_suspected";
  }
  return nowMs < record.suspectedUntilMs ? "suspected" : undefined;
}

function hasSentFrameRecently(record: InstanceRecord, nowMs: Millis): boolean {
  return record.lastFrameMs !== undefined &&
    record.failedAtMs === undefined &&
    nowMs - record.lastFrameMs <= UNLISTED_USE_MS;
}

function viewOf(record: InstanceRecord): EndpointView {
  return {
    endpointId: record.row.instanceId,
    pool: record.row.pool,
    address: record.row.address,
    failureDomain: record.row.failureDomain,
    incarnation: record.incarnation,
    incarnationSinceMs: record.incarnationSinceMs,
    penaltyMs: record.suspicionMs,
  };
}
