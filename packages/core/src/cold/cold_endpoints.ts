// How a router learns that endpoints are cold, and when they are warm again.

import type { Millis } from "../clock.js";
import type { DirectEndpoint } from "../direct/direct_endpoint.js";
import type { DirectEffect } from "../direct/direct_event.js";
import type { DirectState } from "../direct/direct_state.js";
import type { EndpointTransition } from "../direct/endpoint_directory.js";
import {
  type EndpointRecord,
  UNKNOWN_INCARNATION,
} from "../direct/routing_config.js";
import { updateColdLimit } from "./cold_limit.js";
import { coldRuleOf } from "./cold_rule.js";

/** How a router learned that an endpoint is cold; written to the log. */
export type ColdSource =
  /** Its entry in the directory says so. */
  | "entry"
  /** Its entry is new, or returned after it was gone. */
  | "added"
  /** Its entry names another start of the process. */
  | "restarted"
  /** It got no requests while its failure domain was evacuated. */
  | "evacuation";

/** Records which entries of the list say that their endpoints are cold. */
export function observeColdRecords(
  state: DirectState,
  records: readonly EndpointRecord[],
  nowMs: Millis,
): DirectEffect[] {
  return records.flatMap(({ coldForMs, id, incarnation }) => {
    const endpoint = state.directory.get(id);
    const isSameProcess = incarnation === UNKNOWN_INCARNATION ||
      endpoint?.record.incarnation === incarnation;
    return endpoint && isSameProcess && coldForMs !== undefined
      ? extendCold(state, endpoint, "entry", nowMs, coldForMs)
      : [];
  });
}

/**
 * Records that endpoints have appeared, which are cold since their start. Not to be
 * called for the first list that a router gets, whose endpoints may have served
 * for long.
 */
export function observeAppearances(
  state: DirectState,
  transitions: readonly EndpointTransition[],
  nowMs: Millis,
): DirectEffect[] {
  return transitions.flatMap(({ change, endpointId }) => {
    const endpoint = state.directory.get(endpointId);
    return endpoint && (change === "added" || change === "restarted")
      ? extendByStart(state, endpoint, change, nowMs)
      : [];
  });
}

/**
 * Records that the endpoints of a failure domain may have become cold, since they
 * got no requests for a time.
 */
export function markCold(
  state: DirectState,
  failureDomain: string,
  nowMs: Millis,
): DirectEffect[] {
  return [...state.directory.all()]
    .filter(({ record }) => record.failureDomain === failureDomain)
    .flatMap((endpoint) => extendByStart(state, endpoint, "evacuation", nowMs));
}

/** Logs the endpoints whose cold period is over. */
export function endColdPeriods(
  { coldEndpoints, directory }: DirectState,
  nowMs: Millis,
): DirectEffect[] {
  const effects: DirectEffect[] = [];
  for (const endpoint of coldEndpoints) {
    if (endpoint.cold.isCold(nowMs)) {
      continue;
    }
    coldEndpoints.delete(endpoint);
    const { id, record } = endpoint;
    if (directory.get(id) === endpoint) {
      effects.push({
        type: "log",
        event: "endpoint_warm",
        fields: { endpoint: id, service: record.service },
      });
    }
  }
  return effects;
}

function extendByStart(
  state: DirectState,
  endpoint: DirectEndpoint,
  source: ColdSource,
  nowMs: Millis,
): DirectEffect[] {
  const startMs = coldRuleOf(state, endpoint.record.service)?.startMs;
  return startMs === undefined
    ? []
    : extendCold(state, endpoint, source, nowMs, startMs);
}

function extendCold(
  state: DirectState,
  endpoint: DirectEndpoint,
  source: ColdSource,
  nowMs: Millis,
  forMs: Millis,
): DirectEffect[] {
  const { cold, id, record } = endpoint;
  if (!mayBeCold(state, endpoint) || !cold.extend(nowMs, forMs)) {
    return [];
  }
  state.coldEndpoints.add(endpoint);
  updateColdLimit(state, endpoint, nowMs);
  return [{
    type: "log",
    event: "endpoint_cold",
    fields: {
      endpoint: id,
      service: record.service,
      source,
      cold_ms: Math.ceil(cold.remainingMs(nowMs)),
    },
  }];
}

/** An entry may be known before the configuration is. */
function mayBeCold(state: DirectState, { record }: DirectEndpoint): boolean {
  return state.configIndex === undefined
    ? state.options.coldOverrun !== undefined
    : coldRuleOf(state, record.service) !== undefined;
}
