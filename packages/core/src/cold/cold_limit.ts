// Limit of the requests to a cold endpoint, which all routers share as they share
// the limits that endpoints name.

import type { Millis } from "../clock.js";
import type { DirectEndpoint } from "../direct/direct_endpoint.js";
import type { ActiveAttempt, DirectState } from "../direct/direct_state.js";
import { areRoutersObservedLong } from "../direct/fleet_size.js";
import { coldRuleOf } from "./cold_rule.js";

/**
 * A router does not use cold endpoints before the number of routers that it knows
 * has stayed the same for this long, since a process that has just started may
 * know only some of them.
 */
const SETTLED_MS: Millis = 1500;

/** Whether the endpoint is cold, as far as this router knows. */
export function isCold(
  state: DirectState,
  { cold, record }: DirectEndpoint,
  nowMs: Millis,
): boolean {
  return cold.isCold(nowMs) && coldRuleOf(state, record.service) !== undefined;
}

/**
 * Whether the attempt was made at an endpoint that was cold then or later. A slow
 * answer of it does not show that the endpoint fails.
 */
export function isSlowedByCold(
  { endpoint, startedMs }: ActiveAttempt,
): boolean {
  return endpoint.cold.wasColdSince(startedMs);
}

/** Brings the limit of an endpoint up to date with its cold period. */
export function updateColdLimit(
  state: DirectState,
  { cold, coldLimit, record }: DirectEndpoint,
  nowMs: Millis,
): void {
  const factor = cold.rateFactor(nowMs);
  if (factor === Infinity && coldLimit.limitPerS === undefined) {
    return;
  }
  const rule = factor === Infinity
    ? undefined
    : coldRuleOf(state, record.service);
  coldLimit.observe(nowMs, rule?.limitPerS(factor));
}

/** Number of routers that share a cold endpoint; 0 if the fleet is not known. */
export function coldSharingRouters(
  state: DirectState,
  { cold, record }: DirectEndpoint,
  nowMs: Millis,
): number {
  const fleetSize = settledFleetSize(state, nowMs);
  const rule = coldRuleOf(state, record.service);
  return rule && fleetSize !== undefined
    ? rule.sharingRouters(cold.rateFactor(nowMs), fleetSize)
    : 0;
}

/** Number of routers of the fleet; undefined if this router does not know it yet. */
function settledFleetSize(
  state: DirectState,
  nowMs: Millis,
): number | undefined {
  const { fleetSize, options } = state;
  if (fleetSize.isKnown) {
    return nowMs - fleetSize.grownMs >= SETTLED_MS
      ? fleetSize.routers
      : undefined;
  }
  const isAlone = !options.expectsPeers && areRoutersObservedLong(state);
  return isAlone ? 1 : undefined;
}
