import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { Millis } from "../clock.js";
import type { EndpointState } from "../wire/messages.js";
import type { MembershipEffect, MembershipEvent } from "./membership_event.js";
import type {
  FailureDomainRecord,
  InstanceRecord,
  InstanceRow,
  MembershipState,
} from "./membership_state.js";

/** Time for which an instance is suspected after its first failure. */
export const MIN_SUSPICION_MS = 500;
/** Maximum duration of a suspicion; the duration doubles with each failure. */
export const MAX_SUSPICION_MS = 10_000;
/**
 * Period in which `UNSTABLE_CHANGES` changes make an instance unstable; see
 * `recordInstability` for the kinds of changes.
 */
export const UNSTABLE_WINDOW_MS = 60_000;
export const UNSTABLE_CHANGES = 3;
/** Time without a change after which an unstable instance is used again. */
export const UNSTABLE_RECOVERY_MS = 5_000;
/**
 * A failure domain is suspected if most of its endpoints fail within this time.
 */
export const DOMAIN_WINDOW_MS = 2_000;
export const DOMAIN_PROBE_INTERVAL_MS = 1_000;

type FrameEvent = Extract<MembershipEvent, { type: "answered" }>;

/** Adds a row for an instance, or replaces the row of a known one. */
export function putInstance(
  state: MembershipState,
  row: InstanceRow,
  listed: boolean,
): InstanceRecord {
  let record = state.instances.get(row.instanceId);
  if (record === undefined) {
    record = newRecord(row, listed);
    state.instances.set(row.instanceId, record);
  } else {
    removeFromIndexes(state, record);
    record.row = row;
    record.listed = listed;
  }
  if (row.role === "router") {
    state.routerIds.add(row.instanceId);
  } else {
    const ids = state.idsByPool.get(row.pool) ?? new Set();
    ids.add(row.instanceId);
    state.idsByPool.set(row.pool, ids);
  }
  return record;
}

/** Removes an instance and its index entries; unknown ids are ignored. */
export function removeInstance(state: MembershipState, id: string): void {
  const record = state.instances.get(id);
  if (record !== undefined) {
    removeFromIndexes(state, record);
    state.instances.delete(id);
  }
}

/**
 * Applies a frame from an instance, which ends the suspicion of the instance
 * and of its failure domain. Frames of an earlier incarnation are ignored.
 */
export function applyFrame(
  state: MembershipState,
  event: FrameEvent,
  effects: MembershipEffect[],
): void {
  let record = state.instances.get(event.instanceId);
  if (record === undefined) {
    if (event.row === undefined) {
      return;
    }
    record = putInstance(state, event.row, false);
  }
  const { nowMs } = event;
  const incarnation = event.status?.incarnation;
  const knownIncarnation = record.incarnation;
  if (
    incarnation !== undefined && knownIncarnation !== undefined &&
    incarnation < knownIncarnation
  ) {
    effects.push(count("evidence_older_ignored"));
    return;
  }
  const restarted = knownIncarnation !== undefined &&
    incarnation !== undefined &&
    incarnation > knownIncarnation;
  if (incarnation !== undefined && incarnation !== knownIncarnation) {
    record.incarnation = incarnation;
    record.incarnationSinceMs = nowMs;
    record.reportedState = undefined;
  }
  if (restarted || record.failedAtMs !== undefined) {
    recordInstability(record, nowMs, effects);
  }
  recordSuccess(record, nowMs);
  if (event.status?.state !== undefined) {
    recordReportedState(record, event.status.incarnation, event.status.state);
  }
  endDomainSuspicion(state, record.row.failureDomain, effects);
}

/** Suspects an instance to which a connection could not be opened. */
export function applyFailure(
  state: MembershipState,
  instanceId: string,
  nowMs: Millis,
  effects: MembershipEffect[],
): void {
  const record = state.instances.get(instanceId);
  if (record === undefined) {
    return;
  }
  if (record.failedAtMs === undefined) {
    recordInstability(record, nowMs, effects);
    effects.push(count("endpoint_suspected"));
  }
  record.failedAtMs = nowMs;
  const doubledMs = record.suspicionMs * 2;
  record.suspicionMs = Math.min(
    MAX_SUSPICION_MS,
    Math.max(MIN_SUSPICION_MS, doubledMs),
  );
  record.suspectedUntilMs = nowMs + record.suspicionMs;
  updateDomainSuspicion(state, record.row.failureDomain, nowMs, effects);
}

/**
 * Probes suspected domains and endpoints that are draining or not ready. They
 * get no requests, so only a probe can show that they are usable again.
 */
export function probeExcludedInstances(
  state: MembershipState,
  nowMs: Millis,
  effects: MembershipEffect[],
): void {
  for (const [name, domain] of state.failureDomains) {
    if (domain.suspected && nowMs >= domain.nextProbeMs) {
      probeDomain(state, name, domain, nowMs, effects);
    }
  }
  for (const record of state.instances.values()) {
    if (needsProbe(state, record) && nowMs >= record.nextProbeMs) {
      scheduleProbe(state, record, nowMs);
      effects.push({
        type: "probe_instance",
        instanceId: record.row.instanceId,
      });
    }
  }
}

/**
 * Records that an instance failed, came back, restarted, left the list or was
 * listed again. Several such changes within a short time make it unstable.
 */
export function recordInstability(
  record: InstanceRecord,
  nowMs: Millis,
  effects: MembershipEffect[],
): void {
  const oldestMs = nowMs - UNSTABLE_WINDOW_MS;
  record.changeTimesMs = record.changeTimesMs.filter((at) => at > oldestMs);
  record.changeTimesMs.push(nowMs);
  if (record.changeTimesMs.length >= UNSTABLE_CHANGES) {
    // Only the last `UNSTABLE_CHANGES` changes matter for later decisions.
    record.changeTimesMs = record.changeTimesMs.slice(-UNSTABLE_CHANGES);
    record.unstableUntilMs = nowMs + UNSTABLE_RECOVERY_MS;
    effects.push(count("endpoint_unstable"));
  }
}

export function isDomainSuspected(
  state: MembershipState,
  failureDomain: string,
): boolean {
  return state.failureDomains.get(failureDomain)?.suspected ?? false;
}

/** Whether the current incarnation has announced that it is draining. */
export function isDraining(record: InstanceRecord): boolean {
  return record.drainingIncarnation !== undefined &&
    record.drainingIncarnation === record.incarnation;
}

export function count(
  counter: Extract<MembershipEffect, { type: "count" }>["counter"],
  amount = 1,
): MembershipEffect {
  return { type: "count", counter, amount };
}

function recordSuccess(record: InstanceRecord, nowMs: Millis): void {
  record.lastFrameMs = nowMs;
  record.failedAtMs = undefined;
  record.suspectedUntilMs = Number.NEGATIVE_INFINITY;
  const halvedMs = record.suspicionMs / 2;
  record.suspicionMs = halvedMs < MIN_SUSPICION_MS ? 0 : halvedMs;
}

function recordReportedState(
  record: InstanceRecord,
  incarnation: number,
  reportedState: EndpointState,
): void {
  if (reportedState === "draining") {
    record.drainingIncarnation = incarnation;
  }
  if (reportedState === "active") {
    record.probeDelayMs = MIN_SUSPICION_MS;
  }
  record.reportedState = reportedState;
}

function updateDomainSuspicion(
  state: MembershipState,
  failureDomain: string,
  nowMs: Millis,
  effects: MembershipEffect[],
): void {
  if (isDomainSuspected(state, failureDomain)) {
    return;
  }
  let endpointCount = 0;
  let failedCount = 0;
  for (const record of endpointsOf(state, failureDomain)) {
    endpointCount++;
    const failedAtMs = record.failedAtMs;
    if (failedAtMs !== undefined && nowMs - failedAtMs < DOMAIN_WINDOW_MS) {
      failedCount++;
    }
  }
  // A single failure is no evidence of a failure of the domain.
  if (failedCount < 2 || failedCount * 2 <= endpointCount) {
    return;
  }
  state.failureDomains.set(failureDomain, {
    suspected: true,
    nextProbeMs: nowMs + DOMAIN_PROBE_INTERVAL_MS,
    probeCursor: 0,
  });
  effects.push(count("domain_suspected"), {
    type: "log",
    level: "warn",
    text: `failure domain ${failureDomain} suspected: ${failedCount} of ` +
      `${endpointCount} endpoints failed within ${DOMAIN_WINDOW_MS} ms`,
  });
}

function endDomainSuspicion(
  state: MembershipState,
  failureDomain: string,
  effects: MembershipEffect[],
): void {
  if (state.failureDomains.delete(failureDomain)) {
    effects.push({
      type: "log",
      level: "info",
      text: `failure domain ${failureDomain} is no longer suspected`,
    });
  }
}

function probeDomain(
  state: MembershipState,
  name: string,
  domain: FailureDomainRecord,
  nowMs: Millis,
  effects: MembershipEffect[],
): void {
  domain.nextProbeMs = nowMs + DOMAIN_PROBE_INTERVAL_MS;
  const endpoints = endpointsOf(state, name);
  if (endpoints.length === 0) {
    state.failureDomains.delete(name);
    return;
  }
  const record = endpoints[domain.probeCursor % endpoints.length]!;
  domain.probeCursor++;
  effects.push({ type: "probe_instance", instanceId: record.row.instanceId });
}

function needsProbe(state: MembershipState, record: InstanceRecord): boolean {
  if (record.row.role !== "endpoint" || record.row.state === "leaving") {
    return false;
  }
  if (!record.listed || isDomainSuspected(state, record.row.failureDomain)) {
    return false;
  }
  return isDraining(record) || record.reportedState === "starting" ||
    record.reportedState === "down";
}

/** Doubles the delay between probes; jitter spreads the probes of routers. */
function scheduleProbe(
  state: MembershipState,
  record: InstanceRecord,
  nowMs: Millis,
): void {
  const delayMs = record.probeDelayMs;
  const jitterMs = uniformInt(state.random, 0, Math.floor(delayMs / 2));
  record.nextProbeMs = nowMs + delayMs + jitterMs;
  record.probeDelayMs = Math.min(MAX_SUSPICION_MS, delayMs * 2);
}

function endpointsOf(
  state: MembershipState,
  failureDomain: string,
): InstanceRecord[] {
  return [...state.instances.values()].filter((record) =>
    record.listed && record.row.role === "endpoint" &&
    record.row.state === "live" && !isDraining(record) &&
    record.row.failureDomain === failureDomain
  );
}

function removeFromIndexes(
  state: MembershipState,
  record: InstanceRecord,
): void {
  state.routerIds.delete(record.row.instanceId);
  const ids = state.idsByPool.get(record.row.pool);
  ids?.delete(record.row.instanceId);
  if (ids?.size === 0) {
    state.idsByPool.delete(record.row.pool);
  }
}

function newRecord(row: InstanceRow, listed: boolean): InstanceRecord {
  return {
    row,
    listed,
    incarnation: undefined,
    incarnationSinceMs: Number.NEGATIVE_INFINITY,
    reportedState: undefined,
    drainingIncarnation: undefined,
    lastFrameMs: undefined,
    failedAtMs: undefined,
    suspicionMs: 0,
    suspectedUntilMs: Number.NEGATIVE_INFINITY,
    changeTimesMs: [],
    unstableUntilMs: Number.NEGATIVE_INFINITY,
    probeDelayMs: MIN_SUSPICION_MS,
    nextProbeMs: Number.NEGATIVE_INFINITY,
    unlistedAtMs: undefined,
  };
}
