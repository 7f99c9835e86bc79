import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { Millis } from "../clock.js";
import { pickRandom } from "./pick_random.js";
import {
  applyFailure,
  applyFrame,
  probeExcludedInstances,
} from "./instance_evidence.js";
import {
  applyList,
  applyRelayed,
  buildInstancesMessage,
  evictUnlisted,
} from "./instance_list.js";
import type { MembershipEffect, MembershipEvent } from "./membership_event.js";
import { liveRouters, watchersOf } from "./membership_queries.js";
import type { MembershipState } from "./membership_state.js";

/** Interval at which an elected router polls the instance list. */
export const LIST_POLL_INTERVAL_MS = 1_000;
/**
 * Every process polls at least this often, because peers that agree on a
 * version may all have missed a newer one.
 */
const MAX_POLL_INTERVAL_MS = 60_000;
/** Longest delay between polls while the instance list does not answer. */
const MAX_POLL_BACKOFF_MS = 10_000;
/** Number of routers to which a router relays a new version of the list. */
const RELAY_FAN_OUT = 4;

type ListReceived = Extract<
  MembershipEvent,
  { readonly type: "list_received" }
>;
type MessageReceived = Extract<
  MembershipEvent,
  { readonly type: "message_received" }
>;

/**
 * Maintains the view that one process has of all routers and endpoints.
 *
 * The state is updated in place. The instance list may be outdated; frames from
 * instances and failures to reach them take precedence over it.
 */
export function reduceMembership(
  state: MembershipState,
  event: MembershipEvent,
): MembershipEffect[] {
  const effects: MembershipEffect[] = [];
  const { nowMs } = event;
  applyEvent(state, event, effects);
  // Every received frame causes an `answered` event, so the election is not
  // updated for each of these events. If a frame ends the suspicion of a
  // router, the next tick updates the election.
  if (event.type !== "answered") {
    updateElection(state, nowMs, effects);
  }
  if (!state.pollInFlight && nowMs >= state.nextPollMs) {
    state.pollInFlight = true;
    state.lastPollMs = nowMs;
    effects.push({ type: "poll_list" });
  }
  return effects;
}

function applyEvent(
  state: MembershipState,
  event: MembershipEvent,
  effects: MembershipEffect[],
): void {
  const { nowMs } = event;
  switch (event.type) {
    case "list_received":
      applyPolledList(state, event, effects);
      return;
    case "list_not_modified":
      recordPollSuccess(state, nowMs);
      return;
    case "list_failed":
      recordPollFailure(state, nowMs);
      return;
    case "message_received":
      applyMessage(state, event, effects);
      return;
    case "answered":
      applyFrame(state, event, effects);
      return;
    case "connect_failed":
    case "connection_stalled":
      applyFailure(state, event.instanceId, nowMs, effects);
      return;
    case "tick":
      probeExcludedInstances(state, nowMs, effects);
      evictUnlisted(state, nowMs);
      return;
  }
}

function applyPolledList(
  state: MembershipState,
  event: ListReceived,
  effects: MembershipEffect[],
): void {
  const { nowMs, listVersion, instances } = event;
  recordPollSuccess(state, nowMs);
  const baseVersion = state.listVersion;
  if (applyList(state, listVersion, instances, nowMs, effects)) {
    relayChanges(state, baseVersion, nowMs, undefined, effects);
  }
}

function applyMessage(
  state: MembershipState,
  event: MessageReceived,
  effects: MembershipEffect[],
): void {
  const { nowMs, peerId, message } = event;
  const { listVersion } = message;
  if (listVersion === undefined) {
    return;
  }
  if (listVersion >= state.listVersion) {
    deferPoll(state, nowMs);
  }
  if (message.type === "config_query") {
    if (listVersion < state.listVersion) {
      const reply = buildInstancesMessage(state, listVersion);
      effects.push({ type: "send", peerId, message: reply });
    }
    return;
  }
  const baseVersion = state.listVersion;
  if (applyRelayed(state, message, nowMs, effects)) {
    relayChanges(state, baseVersion, nowMs, peerId, effects);
  }
}

/** Relays a new list version to a few routers, which relay it in turn. */
function relayChanges(
  state: MembershipState,
  baseVersion: number,
  nowMs: Millis,
  excludedId: string | undefined,
  effects: MembershipEffect[],
): void {
  if (state.options.role !== "router") {
    return;
  }
  const { nodeId } = state.options;
  const peerIds = liveRouters(state, nowMs).filter((id) =>
    id !== nodeId && id !== excludedId
  );
  const chosenPeerIds = pickRandom(state.random, peerIds, RELAY_FAN_OUT);
  if (chosenPeerIds.length === 0) {
    return;
  }
  const message = buildInstancesMessage(state, baseVersion);
  for (const peerId of chosenPeerIds) {
    effects.push({ type: "send", peerId, message });
  }
}

function updateElection(
  state: MembershipState,
  nowMs: Millis,
  effects: MembershipEffect[],
): void {
  const { role, nodeId, failureDomain } = state.options;
  if (role !== "router") {
    return;
  }
  const elected = watchersOf(state, failureDomain, nowMs).includes(nodeId);
  if (elected === state.elected) {
    return;
  }
  state.elected = elected;
  effects.push({ type: "election_changed", elected });
  if (elected) {
    state.nextPollMs = Math.min(
      state.nextPollMs,
      nowMs + LIST_POLL_INTERVAL_MS,
    );
  } else if (state.listVersion >= 0) {
    deferPoll(state, nowMs);
  }
}

function recordPollSuccess(state: MembershipState, nowMs: Millis): void {
  state.pollInFlight = false;
  state.pollFailures = 0;
  state.nextPollMs = nowMs + LIST_POLL_INTERVAL_MS;
  deferPoll(state, nowMs);
}

function recordPollFailure(state: MembershipState, nowMs: Millis): void {
  state.pollInFlight = false;
  const delayMs = Math.min(
    MAX_POLL_BACKOFF_MS,
    LIST_POLL_INTERVAL_MS * 2 ** state.pollFailures,
  );
  state.pollFailures++;
  state.nextPollMs = nowMs + delayMs + jitterMs(state, delayMs);
}

/** Postpones the poll of a process that is not an elected watcher. */
function deferPoll(state: MembershipState, nowMs: Millis): void {
  const { role, failureDomain } = state.options;
  // If the list names no watcher, polls must not be postponed: routers that
  // exchange the same outdated version would postpone each other's polls
  // forever.
  const othersPoll = role === "sidecar" ||
    watchersOf(state, failureDomain, nowMs).length > 0;
  if (!state.elected && othersPoll) {
    const { listStaleAfterMs } = state.options;
    const jitter = jitterMs(state, listStaleAfterMs);
    state.nextPollMs = Math.min(
      nowMs + listStaleAfterMs,
      Math.max(nowMs, state.lastPollMs + MAX_POLL_INTERVAL_MS),
    ) + jitter;
  }
}

/** Random time of up to half of a delay, to spread the polls of routers. */
function jitterMs(state: MembershipState, delayMs: Millis): Millis {
  return uniformInt(state.random, 0, Math.floor(delayMs / 2));
}
