import type { Millis } from "../clock.js";
import type { MessageOf } from "../wire/messages.js";
import {
  count,
  forgetInstance,
  noteChange,
  putInstance,
} from "./direct_evidence.js";
import type { MembershipEffect } from "./membership_event.js";
import type {
  InstanceRow,
  ListChange,
  MembershipState,
} from "./membership_state.js";

/** An unlisted endpoint that still answers is used this long after. */
export const UNLISTED_USE_MS = 10_000;
/**
 * An unlisted instance is remembered this long, so that an old list which
 * names it as live again does not undo a draining frame.
 */
export const UNLISTED_RETENTION_MS = 600_000;
/** Changes kept to answer peers with the difference only. */
const MAX_CHANGES = 64;

/** Applies a complete list; returns whether it was newer. */
export function applyList(
  state: MembershipState,
  listVersion: number,
  rows: readonly InstanceRow[],
  nowMs: Millis,
  effects: MembershipEffect[],
): boolean {
  if (!isNewer(state, listVersion, effects)) {
    return false;
  }
  const named = new Set(rows.map((row) => row.instanceId));
  const removedIds = [...state.instances.values()]
    .filter((record) => record.listed && !named.has(record.row.instanceId))
    .map((record) => record.row.instanceId);
  applyRows(state, listVersion, rows, removedIds, nowMs, effects);
  return true;
}

/** Applies a relayed list or difference; returns whether it was newer. */
export function applyRelayed(
  state: MembershipState,
  message: MessageOf<"instances">,
  nowMs: Millis,
  effects: MembershipEffect[],
): boolean {
  const { listVersion, baseVersion, instances } = message;
  if (baseVersion === undefined) {
    return applyList(state, listVersion, instances, nowMs, effects);
  }
  if (!isNewer(state, listVersion, effects)) {
    return false;
  }
  // A difference that skips versions says nothing about rows that changed and
  // changed back in between, so it fits its own base only.
  if (state.listVersion !== baseVersion) {
    effects.push(count("list_base_missing"));
    return false;
  }
  const removedIds = message.removedIds ?? [];
  applyRows(state, listVersion, instances, removedIds, nowMs, effects);
  return true;
}

/** The list, or its changes since a version when they are still known. */
export function composeInstances(
  state: MembershipState,
  sinceVersion: number,
): MessageOf<"instances"> {
  const first = state.changes.findIndex((change) =>
    change.baseVersion === sinceVersion
  );
  const { listVersion } = state;
  if (first < 0) {
    const instances = [...state.instances.values()]
      .filter((record) => record.listed).map((record) => record.row);
    return { type: "instances", listVersion, instances };
  }
  const touched = new Set<string>();
  for (const change of state.changes.slice(first)) {
    change.changedIds.forEach((id) => touched.add(id));
    change.removedIds.forEach((id) => touched.add(id));
  }
  const ids = [...touched];
  const isListed = (id: string) => state.instances.get(id)?.listed ?? false;
  return {
    type: "instances",
    listVersion,
    baseVersion: sinceVersion,
    instances: ids.filter(isListed).map((id) => state.instances.get(id)!.row),
    removedIds: ids.filter((id) => !isListed(id)),
  };
}

/** Forgets instances that have been off the list for long. */
export function forgetUnlisted(state: MembershipState, nowMs: Millis): void {
  for (const [id, record] of state.instances) {
    const lastSeenMs = Math.max(
      record.unlistedAtMs ?? Number.NEGATIVE_INFINITY,
      record.lastAnsweredMs ?? Number.NEGATIVE_INFINITY,
    );
    if (!record.listed && nowMs - lastSeenMs > UNLISTED_RETENTION_MS) {
      forgetInstance(state, id);
    }
  }
}

function isNewer(
  state: MembershipState,
  listVersion: number,
  effects: MembershipEffect[],
): boolean {
  if (listVersion > state.listVersion) {
    return true;
  }
  if (listVersion < state.listVersion) {
    effects.push(count("list_older_ignored"));
  }
  return false;
}

function applyRows(
  state: MembershipState,
  listVersion: number,
  rows: readonly InstanceRow[],
  removedIds: readonly string[],
  nowMs: Millis,
  effects: MembershipEffect[],
): void {
  const changedIds: string[] = [];
  for (const row of rows) {
    const known = state.instances.get(row.instanceId);
    if (known?.listed && sameRow(known.row, row)) {
      continue;
    }
    changedIds.push(row.instanceId);
    if (known?.unlistedAtMs !== undefined) {
      noteChange(known, nowMs, effects);
    }
    putInstance(state, row, true).unlistedAtMs = undefined;
  }
  for (const id of removedIds) {
    const record = state.instances.get(id);
    if (record?.listed) {
      record.listed = false;
      record.unlistedAtMs = nowMs;
      noteChange(record, nowMs, effects);
    }
  }
  recordChange(state, {
    baseVersion: state.listVersion,
    listVersion,
    changedIds,
    removedIds,
  });
  state.listVersion = listVersion;
  effects.push(count("list_applied"));
}

function recordChange(state: MembershipState, change: ListChange): void {
  state.changes.push(change);
  if (state.changes.length > MAX_CHANGES) {
    state.changes.shift();
  }
}

function sameRow(a: InstanceRow, b: InstanceRow): boolean {
  return a.role === b.role && a.pool === b.pool && a.address === b.address &&
    a.failureDomain === b.failureDomain && a.state === b.state;
}
