import type { Millis } from "../clock.js";
import type { MessageOf } from "../wire/messages.js";
import {
  count,
  putInstance,
  recordStateChange,
  removeInstance,
} from "./direct_evidence.js";
import type { MembershipEffect } from "./membership_event.js";
import type {
  InstanceRow,
  ListChange,
  MembershipState,
} from "./membership_state.js";

/** An unlisted endpoint is used until this long after its last frame. */
export const UNLISTED_USE_MS = 10_000;
/**
 * Records of unlisted instances are kept this long, so that an outdated list
 * that names an instance as live again does not undo its draining frame.
 */
export const UNLISTED_RETENTION_MS = 600_000;
/** Number of changes kept, so that peers can be sent a difference only. */
const MAX_CHANGES = 64;

/** Applies a complete list; returns false if it is not newer. */
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

/** Applies a relayed list or difference; returns whether it was applied. */
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
  // A difference applies to its base version only: it omits rows that changed
  // and changed back since then, in which versions in between differ.
  if (state.listVersion !== baseVersion) {
    effects.push(count("list_base_missing"));
    return false;
  }
  const removedIds = message.removedIds ?? [];
  applyRows(state, listVersion, instances, removedIds, nowMs, effects);
  return true;
}

/** Composes the changes since a version, or the list if they are not kept. */
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
  const changedIds = new Set<string>();
  for (const change of state.changes.slice(first)) {
    change.changedIds.forEach((id) => changedIds.add(id));
    change.removedIds.forEach((id) => changedIds.add(id));
  }
  const ids = [...changedIds];
  const isListed = (id: string) => state.instances.get(id)?.listed ?? false;
  return {
    type: "instances",
    listVersion,
    baseVersion: sinceVersion,
    instances: ids.filter(isListed).map((id) => state.instances.get(id)!.row),
    removedIds: ids.filter((id) => !isListed(id)),
  };
}

/** Removes instances that were unlisted and sent no frame for a long time. */
export function evictUnlisted(state: MembershipState, nowMs: Millis): void {
  for (const [id, record] of state.instances) {
    const lastSeenMs = Math.max(
      record.unlistedAtMs ?? Number.NEGATIVE_INFINITY,
      record.lastAnsweredMs ?? Number.NEGATIVE_INFINITY,
    );
    if (!record.listed && nowMs - lastSeenMs > UNLISTED_RETENTION_MS) {
      removeInstance(state, id);
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
      recordStateChange(known, nowMs, effects);
    }
    putInstance(state, row, true).unlistedAtMs = undefined;
  }
  for (const id of removedIds) {
    const record = state.instances.get(id);
    if (record?.listed) {
      record.listed = false;
      record.unlistedAtMs = nowMs;
      recordStateChange(record, nowMs, effects);
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
