import type { Millis } from "../clock.js";
import type { MessageOf } from "../wire/messages.js";
import {
  count,
  putInstance,
  recordInstability,
  removeInstance,
} from "./instance_evidence.js";
import type { MembershipEffect } from "./membership_event.js";
import type {
  InstanceRow,
  ListChange,
  MembershipState,
} from "./membership_state.js";

/** An unlisted endpoint is used until this time after its last frame. */
export const UNLISTED_USE_MS = 10_000;
/**
 * Records of unlisted instances are kept this long. Without the record of an
 * instance that reported that it is draining, an outdated list that names the
 * instance as live would make it usable again.
 */
export const UNLISTED_RETENTION_MS = 600_000;
/**
 * Number of list versions whose changes are kept. A peer with one of these
 * versions is sent only the changes since then.
 */
const MAX_KEPT_LIST_CHANGES = 64;

/** Applies a complete list; returns false if its version is not newer. */
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
  const listedIds = new Set(rows.map((row) => row.instanceId));
  const removedIds = [...state.instances.values()]
    .filter((record) => record.listed && !listedIds.has(record.row.instanceId))
    .map((record) => record.row.instanceId);
  applyRows(state, listVersion, rows, removedIds, nowMs, effects);
  return true;
}

/**
 * Applies a complete list, or a difference between two versions, that a peer
 * relayed. Returns whether it was applied.
 */
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
  // A difference can be applied to its base version only. A row that changed
  // after the base version and then changed back is missing from the
  // difference, although the versions in between have another value of that
  // row.
  if (state.listVersion !== baseVersion) {
    effects.push(count("list_base_missing"));
    return false;
  }
  const removedIds = message.removedIds ?? [];
  applyRows(state, listVersion, instances, removedIds, nowMs, effects);
  return true;
}

/**
 * Builds a message with the changes since a version of the list, or with the
 * complete list if these changes are no longer kept.
 */
export function buildInstancesMessage(
  state: MembershipState,
  sinceVersion: number,
): MessageOf<"instances"> {
  const firstIndex = state.listChanges.findIndex((change) =>
    change.baseVersion === sinceVersion
  );
  const { listVersion } = state;
  if (firstIndex < 0) {
    const instances = [...state.instances.values()]
      .filter((record) => record.listed).map((record) => record.row);
    return { type: "instances", listVersion, instances };
  }
  const changedIds = new Set<string>();
  for (const change of state.listChanges.slice(firstIndex)) {
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

/**
 * Removes instances that have been unlisted, and have sent no frame, for longer
 * than `UNLISTED_RETENTION_MS`.
 */
export function evictUnlisted(state: MembershipState, nowMs: Millis): void {
  for (const [id, record] of state.instances) {
    const lastSeenMs = Math.max(
      record.unlistedAtMs ?? Number.NEGATIVE_INFINITY,
      record.lastFrameMs ?? Number.NEGATIVE_INFINITY,
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
    const knownRecord = state.instances.get(row.instanceId);
    if (knownRecord?.listed && isSameRow(knownRecord.row, row)) {
      continue;
    }
    changedIds.push(row.instanceId);
    if (knownRecord?.unlistedAtMs !== undefined) {
      recordInstability(knownRecord, nowMs, effects);
    }
    putInstance(state, row, true).unlistedAtMs = undefined;
  }
  for (const id of removedIds) {
    const record = state.instances.get(id);
    if (record?.listed) {
      record.listed = false;
      record.unlistedAtMs = nowMs;
      recordInstability(record, nowMs, effects);
    }
  }
  recordListChange(state, {
    baseVersion: state.listVersion,
    listVersion,
    changedIds,
    removedIds,
  });
  state.listVersion = listVersion;
  effects.push(count("list_applied"));
}

function recordListChange(state: MembershipState, change: ListChange): void {
  state.listChanges.push(change);
  if (state.listChanges.length > MAX_KEPT_LIST_CHANGES) {
    state.listChanges.shift();
  }
}

function isSameRow(a: InstanceRow, b: InstanceRow): boolean {
  return a.role === b.role && a.pool === b.pool && a.address === b.address &&
    a.failureDomain === b.failureDomain && a.state === b.state;
}
