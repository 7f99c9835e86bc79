// Handles updates of the configuration, the endpoints and the prompt cache
// index.

import type { Millis } from "../clock.js";
import { observeAppearances, observeColdRecords } from "../cold/index.js";
import type { DirectEffect, DirectEvent } from "./direct_event.js";
import {
  type DirectState,
  isDirectoryUnreliable,
  prefillRateOf,
} from "./direct_state.js";
import { doubtStreams, storeStreamsAgain } from "./direct_streams.js";
import type { EndpointTransition } from "./endpoint_directory.js";
import { RoutingConfigIndex } from "./routing_config_index.js";
import { sumTokens } from "./prompt_cache_index.js";

/**
 * If an outage of the directory may be the reason why an endpoint is no longer
 * listed, the endpoint is kept for this long.
 */
const LAPSED_ENDPOINT_RETENTION_MS: Millis = 1800;

/**
 * The directory counts as unreliable for this long after an outage, because
 * some endpoints may still be missing in it.
 */
const UNRELIABLE_AFTER_OUTAGE_MS: Millis = 2500;

/** Puts a configuration into force if it is newer than the current one. */
export function applyConfig(
  state: DirectState,
  event: Extract<DirectEvent, { type: "config_received" }>,
): DirectEffect[] {
  const currentVersion = state.configIndex?.version;
  if (currentVersion !== undefined && event.config.version <= currentVersion) {
    return [];
  }
  state.configIndex = new RoutingConfigIndex(event.config);
  return [
    { type: "apply_limits" },
    {
      type: "log",
      event: "routing_config_applied",
      fields: {
        config_version: event.config.version,
        previous_version: currentVersion,
        source: event.source,
        routes: event.config.routes.length,
        accounts: event.config.accounts?.length,
      },
    },
  ];
}

/** Applies a change of the endpoint list and logs each changed endpoint. */
export function applyEndpointChange(
  state: DirectState,
  event: Extract<DirectEvent, { type: "endpoints_changed" }>,
): DirectEffect[] {
  const unreliable = event.directoryReliable === undefined
    ? isDirectoryUnreliable(state, event.nowMs)
    : !event.directoryReliable;
  const transitions = state.directory.apply(event.change, event.nowMs, {
    lapsedRetentionMs: unreliable ? LAPSED_ENDPOINT_RETENTION_MS : 0,
    mayBeOutdated: event.nowMs < state.directoryOutdatedUntilMs,
  });
  removeStalePromptCaches(state, transitions);
  return [
    ...doubtStreams(state, transitions, event.nowMs),
    ...logTransitions(transitions, event.source),
    ...observeColdEndpoints(state, event, transitions),
  ];
}

/** The first list that names endpoints does not tell which of them are new. */
function observeColdEndpoints(
  state: DirectState,
  { change, nowMs }: Extract<DirectEvent, { type: "endpoints_changed" }>,
  transitions: readonly EndpointTransition[],
): DirectEffect[] {
  const appearances = state.hasEndpointList
    ? observeAppearances(state, transitions, nowMs)
    : [];
  state.hasEndpointList ||= state.directory.size > 0;
  return [
    ...appearances,
    ...observeColdRecords(state, change.upserts, nowMs),
  ];
}

/** Removes lapsed endpoints that the directory did not list again in time. */
export function removeLapsedEndpoints(
  state: DirectState,
  nowMs: Millis,
): DirectEffect[] {
  const transitions = state.directory.removeLapsed(nowMs);
  if (nowMs >= state.directoryOutdatedUntilMs) {
    transitions.push(...state.directory.applyDeferredRecords(nowMs));
  }
  removeStalePromptCaches(state, transitions);
  return [
    ...doubtStreams(state, transitions, nowMs),
    ...logTransitions(transitions, "lapse"),
    ...observeAppearances(state, transitions, nowMs),
  ];
}

/** Records whether the directory is available; logs each change. */
export function applyDirectoryState(
  state: DirectState,
  event: Extract<DirectEvent, { type: "directory_state_changed" }>,
): DirectEffect[] {
  if (event.available === state.directoryAvailable) {
    return [];
  }
  state.directoryAvailable = event.available;
  if (event.available) {
    state.directoryUnreliableUntilMs = event.nowMs + UNRELIABLE_AFTER_OUTAGE_MS;
  }
  return [{
    type: "log",
    event: event.available ? "store_regained" : "store_lost",
    fields: { config_version: state.configIndex?.version },
  }];
}

/**
 * Records that the directory was restored from an older copy. Its entries count
 * as unreliable until those who write them had time to write them again, and
 * what routers store must be stored again.
 */
export function applyDirectoryRestore(
  state: DirectState,
  event: Extract<DirectEvent, { type: "directory_restored" }>,
): DirectEffect[] {
  const untilMs = event.nowMs + UNRELIABLE_AFTER_OUTAGE_MS;
  state.directoryUnreliableUntilMs = untilMs;
  state.directoryOutdatedUntilMs = untilMs;
  return [
    { type: "store_documents" },
    ...storeStreamsAgain(state, event.nowMs),
    {
      type: "log",
      event: "store_restored",
      fields: {
        epoch: event.epoch,
        config_version: state.configIndex?.version,
      },
    },
  ];
}

/**
 * Adds prompt cache entries from a peer or the directory to the index. They are
 * not forwarded; otherwise each router would receive them from every peer.
 */
export function applyPromptCacheEntries(
  state: DirectState,
  { entries, sentAtMs }: Extract<
    DirectEvent,
    { type: "prompt_cache_entries_received" }
  >,
): void {
  for (const { endpointId, incarnation, parts } of entries) {
    const endpoint = state.directory.get(endpointId);
    const service = endpoint?.record.service;
    const engineSettings = service &&
      state.configIndex?.service(service)?.engine;
    const added = state.promptCacheIndex.record(
      endpointId,
      incarnation,
      parts,
      engineSettings ? engineSettings.cacheTokens : undefined,
    );
    if (sentAtMs !== undefined && endpoint) {
      endpoint.prefillBacklog.add(
        sentAtMs,
        sumTokens(added),
        prefillRateOf(state, endpoint.record.service).tokensPerMs,
      );
    }
  }
}

/** Removes the index entries of endpoints that were removed or restarted. */
function removeStalePromptCaches(
  state: DirectState,
  transitions: readonly EndpointTransition[],
): void {
  for (const { change, endpointId } of transitions) {
    if (change === "removed" || change === "restarted") {
      state.promptCacheIndex.removeEndpoint(endpointId);
    }
  }
}

function logTransitions(
  transitions: readonly EndpointTransition[],
  source: string,
): DirectEffect[] {
  return transitions.map(({ endpointId, service, change }) => ({
    type: "log",
    event: "endpoint_view_changed",
    fields: { endpoint: endpointId, service, change, source },
  }));
}
