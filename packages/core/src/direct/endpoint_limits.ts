// Keeps the requests to endpoints within limits for all routers together: those
// that the endpoints name, and those of cold endpoints.

import type { Millis } from "../clock.js";
import { coldSharingRouters, updateColdLimit } from "../cold/cold_limit.js";
import { rankByRendezvous } from "../membership/index.js";
import { AccountShares } from "./account_shares.js";
import type { DirectEndpoint } from "./direct_endpoint.js";
import type { DirectEffect, DirectEvent } from "./direct_event.js";
import type { ActiveRequest, DirectState } from "./direct_state.js";
import { areRoutersObservedLong } from "./fleet_size.js";
import {
  isCredibleLimit,
  type LimitReport,
  type LimitShare,
  type RequestLimit,
  sharingRouters,
} from "./request_limit.js";

/**
 * Number of routers that share limits, as a router assumes that has seen no other and
 * may not count as the only one yet.
 */
const ASSUMED_ROUTERS = 4;

/** A share with the routers from which it was chosen. */
export interface KnownLimitShare extends LimitShare {
  readonly otherIds: readonly string[];
}

/** Bounds of the time after which a request that exceeds all limits returns. */
const MIN_RETRY_AFTER_MS: Millis = 200;
const MAX_RETRY_AFTER_MS: Millis = 3000;

/** Account of requests on routes that need no key. */
const NO_ACCOUNT = "";

/** Applies the limit that an answer of an endpoint names, and tells the others. */
export function observeLimit(
  endpoint: DirectEndpoint,
  limitPerS: number | undefined,
  nowMs: Millis,
): DirectEffect[] {
  if (limitPerS !== undefined && !isCredibleLimit(limitPerS)) {
    return logInvalidLimit(endpoint, limitPerS);
  }
  endpoint.hasInvalidLimit = false;
  return endpoint.limit.observe(nowMs, limitPerS)
    ? [
      { type: "share_limits", limits: [limitReportOf(endpoint)] },
      logLimit(endpoint, "answer"),
    ]
    : [];
}

/** Merges the limits that another router reports. */
export function applyLimitReports(
  state: DirectState,
  { nowMs, reports, source }: Extract<
    DirectEvent,
    { type: "limits_received" }
  >,
): DirectEffect[] {
  return reports.flatMap((report) => {
    const endpoint = state.directory.get(report.endpointId);
    return endpoint?.record.incarnation === report.incarnation &&
        endpoint.limit.merge(nowMs, report)
      ? [logLimit(endpoint, source)]
      : [];
  });
}

/** Limits that endpoints name now or have named, to send to other routers. */
export function limitReports(state: DirectState): LimitReport[] {
  return [...state.directory.all()].filter(({ limit }) => limit.version > 0)
    .map(limitReportOf);
}

/** Records that a request is sent to the endpoint. */
export function consumeRoom(
  state: DirectState,
  request: ActiveRequest,
  endpoint: DirectEndpoint,
  nowMs: Millis,
): void {
  const limits = sharedLimits(state, endpoint, nowMs);
  limits.forEach(({ limit, share }) => limit.consume(nowMs, share));
  if (limits.length > 0) {
    accountSharesOf(state, request.service)
      .recordServed(nowMs, accountOf(request));
  }
}

/**
 * Returns the time after which a request may return that no endpoint of its
 * service has room for; undefined if there is room, or if limits are not the
 * reason.
 */
export function limitRetryAfterMs(
  state: DirectState,
  request: ActiveRequest,
  endpoints: readonly DirectEndpoint[],
  nowMs: Millis,
): Millis | undefined {
  if (
    endpoints.length === 0 ||
    endpoints.some((endpoint) =>
      sharedLimits(state, endpoint, nowMs).length === 0
    )
  ) {
    return undefined;
  }
  const shares = accountSharesOf(state, request.service);
  const account = accountOf(request);
  const waitsMs = endpoints.map((endpoint) =>
    limitWaitMs(state, endpoint, nowMs)
  );
  const waitMs = Math.min(...waitsMs);
  const room = waitsMs.filter((endpointWaitMs) => endpointWaitMs === 0).length;
  // A pool of one endpoint never has room for two.
  const leavesRoom = room > 1 || endpoints.length === 1;
  if (room > 0 && shares.mayServe(nowMs, account, leavesRoom)) {
    return undefined;
  }
  shares.recordRefused(nowMs, account);
  return Math.min(
    MAX_RETRY_AFTER_MS,
    Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs)),
  );
}

/** Time until the endpoint's limits leave room for a request of this router. */
export function limitWaitMs(
  state: DirectState,
  endpoint: DirectEndpoint,
  nowMs: Millis,
): Millis {
  return sharedLimits(state, endpoint, nowMs).reduce(
    (waitMs, { limit, share }) => Math.max(waitMs, limit.waitMs(nowMs, share)),
    0,
  );
}

/** A limit that is in force, with this router's part of it. */
interface SharedLimit {
  readonly limit: RequestLimit;
  readonly share: LimitShare;
}

const NO_LIMITS: readonly SharedLimit[] = [];

/** Limits that are in force at the endpoint; a request needs room in all. */
function sharedLimits(
  state: DirectState,
  endpoint: DirectEndpoint,
  nowMs: Millis,
): readonly SharedLimit[] {
  const { coldLimit, id, limit } = endpoint;
  updateColdLimit(state, endpoint, nowMs);
  if (limit.limitPerS === undefined && coldLimit.limitPerS === undefined) {
    return NO_LIMITS;
  }
  const limits: SharedLimit[] = [];
  if (limit.limitPerS !== undefined) {
    const fleet = assumedFleetSize(state);
    const routers = sharingRouters(limit.limitPerS, fleet);
    limits.push({ limit, share: shareOf(state, id, limit, routers, fleet) });
  }
  if (coldLimit.limitPerS !== undefined) {
    const routers = coldSharingRouters(state, endpoint, nowMs);
    const fleet = state.fleetSize.routers;
    limits.push({
      limit: coldLimit,
      share: shareOf(state, id, coldLimit, routers, fleet),
    });
  }
  return limits;
}

/**
 * The routers that share a limit are chosen by rendezvous hashing of the
 * endpoint's id, so that all routers choose the same.
 */
function shareOf(
  state: DirectState,
  endpointId: string,
  limit: RequestLimit,
  routers: number,
  fleet: number,
): LimitShare {
  const { fleetSize: { otherIds }, options } = state;
  // Only deployments with cold endpoints need the stricter rule, and the others
  // keep the one that they have had.
  const keepsSaved = options.coldOverrun === undefined;
  if (routers >= fleet || routers === 0) {
    return { routers, isMember: routers > 0, keepsSaved };
  }
  const known = state.limitShares.get(limit);
  if (known?.otherIds === otherIds && known.routers === routers) {
    return known;
  }
  const isMember = rankByRendezvous(
    endpointId,
    [options.nodeId, ...otherIds],
    routers,
  ).includes(options.nodeId);
  const share = { routers, isMember, keepsSaved, otherIds };
  state.limitShares.set(limit, share);
  return share;
}

function assumedFleetSize(state: DirectState): number {
  const { fleetSize } = state;
  return fleetSize.isKnown || areRoutersObservedLong(state)
    ? fleetSize.routers
    : ASSUMED_ROUTERS;
}

function accountSharesOf(state: DirectState, service: string): AccountShares {
  const known = state.accountShares.get(service);
  if (known) {
    return known;
  }
  const created = new AccountShares();
  state.accountShares.set(service, created);
  return created;
}

function accountOf({ account }: ActiveRequest): string {
  return account?.name ?? NO_ACCOUNT;
}

function limitReportOf({ id, limit, record }: DirectEndpoint): LimitReport {
  const { limitPerS, version } = limit;
  return {
    endpointId: id,
    incarnation: record.incarnation,
    limitVersion: version,
    ...(limitPerS === undefined ? {} : { limitPerS }),
  };
}

/** Logs the first bad value only; an endpoint names it in each answer. */
function logInvalidLimit(
  endpoint: DirectEndpoint,
  limitPerS: number,
): DirectEffect[] {
  if (endpoint.hasInvalidLimit) {
    return [];
  }
  endpoint.hasInvalidLimit = true;
  return [{
    type: "log",
    event: "endpoint_limit_invalid",
    fields: { endpoint: endpoint.id, limit_per_s: String(limitPerS) },
  }];
}

function logLimit(endpoint: DirectEndpoint, source: string): DirectEffect {
  return {
    type: "log",
    event: "endpoint_limit_changed",
    fields: {
      endpoint: endpoint.id,
      service: endpoint.record.service,
      limit_per_s: endpoint.limit.limitPerS,
      source,
    },
  };
}
