import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { Millis } from "../clock.js";
import type { EndpointState } from "../wire/messages.js";
import type { MembershipEffect, MembershipEvent } from "./membership_event.js";
import type {
  DomainRecord,
  InstanceRecord,
  InstanceRow,
  MembershipState,
} from "./membership_state.js";

export const MIN_SUSPICION_MS = 500;
export const MAX_SUSPICION_MS = 10_000;
export const FLAP_WINDOW_MS = 60_000;
export const FLAP_CHANGES = 3;
export const FLAP_STABILITY_MS = 5_000;
export const DOMAIN_WINDOW_MS = 2_000;
export const DOMAIN_PROBE_INTERVAL_MS = 1_000;

type Answered = Extract<MembershipEvent, { type: "answered" }>;

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
    unindex(state, record);
    record.row = row;
    record.listed = listed;
  }
  if (row.role === "endpoint") {
    const ids = state.idsByPool.get(row.pool) ?? new Set();
    ids.add(row.instanceId);
    state.idsByPool.set(row.pool, ids);
  }
  return record;
}

export function forgetInstance(state: MembershipState, id: string): void {
  const record = state.instances.get(id);
  if (record !== undefined) {
    unindex(state, record);
    state.instances.delete(id);
  }
}

export function applyAnswered(
  state: MembershipState,
  event: Answered,
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
  const incarnation = event.facts?.incarnation;
  const known = record.incarnation;
  if (
    incarnation !== undefined && known !== undefined && incarnation < known
  ) {
    effects.push(count("evidence_older_ignored"));
    return;
  }
  const restarted = known !== undefined && incarnation !== undefined &&
    incarnation > known;
  if (incarnation !== undefined && incarnation !== known) {
    record.incarnation = incarnation;
    record.incarnationSinceMs = nowMs;
    record.reportedState = undefined;
  }
  if (restarted || record.failedAtMs !== undefined) {
    noteChange(record, nowMs, effects);
  }
  noteSuccess(record, nowMs);
  if (event.facts?.state !== undefined) {
    noteReportedState(record, event.facts.incarnation, event.facts.state);
  }
  endDomainSuspicion(state, record.row.failureDomain, effects);
}

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
    noteChange(record, nowMs, effects);
    effects.push(count("endpoint_suspected"));
  }
  record.failedAtMs = nowMs;
  const doubled = record.suspicionDelayMs * 2;
  record.suspicionDelayMs = Math.min(
    MAX_SUSPICION_MS,
    Math.max(MIN_SUSPICION_MS, doubled),
  );
  record.suspectedUntilMs = nowMs + record.suspicionDelayMs;
  checkDomain(state, record.row.failureDomain, nowMs, effects);
}

/** Probes for what takes no work and would otherwise never answer again. */
export function probeUnused(
  state: MembershipState,
  nowMs: Millis,
  effects: MembershipEffect[],
): void {
  for (const [name, domain] of state.domains) {
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

/** A change between up and down, as counted by flap damping. */
export function noteChange(
  record: InstanceRecord,
  nowMs: Millis,
  effects: MembershipEffect[],
): void {
  const oldest = nowMs - FLAP_WINDOW_MS;
  record.changeTimesMs = record.changeTimesMs.filter((at) => at > oldest);
  record.changeTimesMs.push(nowMs);
  if (record.changeTimesMs.length >= FLAP_CHANGES) {
    // More entries than the rule needs would only cost memory.
    record.changeTimesMs = record.changeTimesMs.slice(-FLAP_CHANGES);
    record.unstableUntilMs = nowMs + FLAP_STABILITY_MS;
    effects.push(count("endpoint_unstable"));
  }
}

export function isDomainSuspected(
  state: MembershipState,
  failureDomain: string,
): boolean {
  return state.domains.get(failureDomain)?.suspected ?? false;
}

/** Whether the current incarnation has announced that it is draining. */
export function isDrained(record: InstanceRecord): boolean {
  return record.drainedIncarnation !== undefined &&
    record.drainedIncarnation === record.incarnation;
}

export function count(
  counter: Extract<MembershipEffect, { type: "count" }>["counter"],
  amount = 1,
): MembershipEffect {
  return { type: "count", counter, amount };
}

function noteSuccess(record: InstanceRecord, nowMs: Millis): void {
  record.lastAnsweredMs = nowMs;
  record.failedAtMs = undefined;
  record.suspectedUntilMs = Number.NEGATIVE_INFINITY;
  const halved = record.suspicionDelayMs / 2;
  record.suspicionDelayMs = halved < MIN_SUSPICION_MS ? 0 : halved;
}

function noteReportedState(
  record: InstanceRecord,
  incarnation: number,
  reportedState: EndpointState,
): void {
  if (reportedState === "draining") {
    record.drainedIncarnation = incarnation;
  }
  if (reportedState === "active") {
    record.probeDelayMs = MIN_SUSPICION_MS;
  }
  record.reportedState = reportedState;
}

function checkDomain(
  state: MembershipState,
  failureDomain: string,
  nowMs: Millis,
  effects: MembershipEffect[],
): void {
  if (isDomainSuspected(state, failureDomain)) {
    return;
  }
  let total = 0;
  let failed = 0;
  for (const record of endpointsOf(state, failureDomain)) {
    total++;
    const failedAtMs = record.failedAtMs;
    if (failedAtMs !== undefined && nowMs - failedAtMs < DOMAIN_WINDOW_MS) {
      failed++;
    }
  }
  // A single failure tells nothing about a domain.
  if (failed < 2 || failed * 2 <= total) {
    return;
  }
  state.domains.set(failureDomain, {
    suspected: true,
    nextProbeMs: nowMs + DOMAIN_PROBE_INTERVAL_MS,
    probeCursor: 0,
  });
  effects.push(count("domain_suspected"), {
    type: "log",
    level: "warn",
    text: `failure domain ${failureDomain} suspected: ${failed} of ` +
      `${total} endpoints failed within ${DOMAIN_WINDOW_MS} ms`,
  });
}

function endDomainSuspicion(
  state: MembershipState,
  failureDomain: string,
  effects: MembershipEffect[],
): void {
  if (state.domains.delete(failureDomain)) {
    effects.push({
      type: "log",
      level: "info",
      text: `failure domain ${failureDomain} answers again`,
    });
  }
}

function probeDomain(
  state: MembershipState,
  name: string,
  domain: DomainRecord,
  nowMs: Millis,
  effects: MembershipEffect[],
): void {
  domain.nextProbeMs = nowMs + DOMAIN_PROBE_INTERVAL_MS;
  const endpoints = endpointsOf(state, name);
  if (endpoints.length === 0) {
    state.domains.delete(name);
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
  return isDrained(record) || record.reportedState === "starting" ||
    record.reportedState === "down";
}

/** Doubles the delay between probes; jitter keeps routers apart. */
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
    record.row.state === "live" && !isDrained(record) &&
    record.row.failureDomain === failureDomain
  );
}

function unindex(state: MembershipState, record: InstanceRecord): void {
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
    drainedIncarnation: undefined,
    lastAnsweredMs: undefined,
    failedAtMs: undefined,
    suspicionDelayMs: 0,
    suspectedUntilMs: Number.NEGATIVE_INFINITY,
    changeTimesMs: [],
    unstableUntilMs: Number.NEGATIVE_INFINITY,
    probeDelayMs: MIN_SUSPICION_MS,
    nextProbeMs: Number.NEGATIVE_INFINITY,
    unlistedAtMs: undefined,
  };
}
