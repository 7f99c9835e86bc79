import type { Millis } from "../clock.js";
import type { DirectEffect, DirectEvent } from "./direct_event.js";
import { type DirectState, isDirectoryUnreliable } from "./direct_state.js";
import type { DirectoryNote } from "./endpoint_directory.js";
import { RouteTable } from "./route_table.js";
import type { PromptCacheEntry } from "./warmth_index.js";

/** How long after an outage a removed entry may still come back. */
const LAPSE_MS: Millis = 1800;

/** How long after an outage removals are taken for its trace. */
const DISTURBED_MS: Millis = 2500;

/** Puts a configuration into force unless a newer one is. */
export function receiveConfig(
  state: DirectState,
  event: Extract<DirectEvent, { type: "config_received" }>,
): DirectEffect[] {
  const current = state.routes?.version;
  if (current !== undefined && event.config.version <= current) {
    return [];
  }
  state.routes = new RouteTable(event.config);
  return [
    { type: "limits_changed" },
    {
      type: "log",
      event: "routing_config_applied",
      fields: {
        config_version: event.config.version,
        previous_version: current,
        source: event.source,
        routes: event.config.routes.length,
        accounts: event.config.accounts?.length,
      },
    },
  ];
}

/** Applies a change of the directory. */
export function changeEndpoints(
  state: DirectState,
  event: Extract<DirectEvent, { type: "endpoints_changed" }>,
): DirectEffect[] {
  const disturbed = event.settled === undefined
    ? isDirectoryUnreliable(state, event.nowMs)
    : !event.settled;
  const notes = state.directory.apply(
    event.change,
    event.nowMs,
    disturbed ? LAPSE_MS : 0,
  );
  forgetWarmth(state, notes);
  return logNotes(notes, event.source);
}

/** Removes what lapsed and did not come back. */
export function expireEndpoints(
  state: DirectState,
  nowMs: Millis,
): DirectEffect[] {
  const notes = state.directory.expire(nowMs);
  forgetWarmth(state, notes);
  return logNotes(notes, "lapse");
}

/** Notes whether the directory answers. */
export function changeStoreState(
  state: DirectState,
  event: Extract<DirectEvent, { type: "store_state_changed" }>,
): DirectEffect[] {
  if (event.available === state.storeAvailable) {
    return [];
  }
  state.storeAvailable = event.available;
  if (event.available) {
    state.disturbedUntilMs = event.nowMs + DISTURBED_MS;
  }
  return [{
    type: "log",
    event: event.available ? "store_regained" : "store_lost",
    fields: { config_version: state.routes?.version },
  }];
}

/**
 * Takes over what another router knows of caches. News are not passed on: they
 * would reach each router as often as it has peers.
 */
export function takeWarmth(
  state: DirectState,
  entries: readonly PromptCacheEntry[],
): void {
  for (const { endpointId, incarnation, parts } of entries) {
    const service = state.directory.get(endpointId)?.record.service;
    const engine = service && state.routes?.service(service)?.engine;
    state.promptCacheIndex.note(
      endpointId,
      incarnation,
      parts,
      engine ? engine.cacheTokens : undefined,
    );
  }
}

/** Follows the directory: what is gone or began anew holds nothing. */
function forgetWarmth(
  state: DirectState,
  notes: readonly DirectoryNote[],
): void {
  for (const { change, endpointId } of notes) {
    if (change === "removed" || change === "restarted") {
      state.promptCacheIndex.forget(endpointId);
    }
  }
}

function logNotes(
  notes: readonly DirectoryNote[],
  source: string,
): DirectEffect[] {
  return notes.map(({ endpointId, service, change }) => ({
    type: "log",
    event: "endpoint_view_changed",
    fields: { endpoint: endpointId, service, change, source },
  }));
}
