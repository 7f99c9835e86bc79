import { loadTokensOf, type SidecarState } from "@anvildeal/core";
import type { GaugeSource } from "../metrics/index.js";
import type { NodeServices } from "../node_services.js";
import {
  processCpuMs,
  trafficGauges,
  trafficStatus,
} from "../router/router_status.js";

const BYTES_PER_MB = 1024 * 1024;

/** Body of `/status` of a sidecar: its state, load and traffic. */
export function sidecarStatus(
  state: SidecarState,
  services: NodeServices,
  configVersion: number,
) {
  const nowMs = services.clock.nowMs();
  const loadTokens = loadTokensOf(state);
  const pool = state.loadTable.summarize(nowMs);
  const { counters } = state.loadBound;
  return {
    node_id: services.identity.nodeId,
    role: "sidecar",
    pool: state.options.pool,
    incarnation: state.options.incarnation,
    config_version: configVersion,
    state: state.endpointState,
    load_tokens: loadTokens,
    pool_mean_tokens: state.loadBound.poolMeanTokens(loadTokens, nowMs),
    running: state.runningAttemptIds.size,
    queued: state.queue.size,
    attempts: state.attempts.size,
    fresh_peers: pool.freshPeers,
    known_peers: pool.knownPeers,
    bound: {
      admitted: counters.admitted,
      refused: counters.refusedByBound + counters.refusedByCapacity,
      exceeded: counters.exceeded,
    },
    last_admitted_at_wall_ms: state.lastAdmittedAtMs === undefined
      ? null
      : services.clock.wallMs() - (nowMs - state.lastAdmittedAtMs),
    prefill_tokens_per_s: state.serviceRates.prefillTokensPerS,
    decode_tokens_per_s: state.serviceRates.decodeTokensPerS,
    rss_mb: process.memoryUsage.rss() / BYTES_PER_MB,
    cpu_ms: processCpuMs(),
    traffic: trafficStatus(services),
  };
}

/** Gauges of a sidecar; their values are read on each scrape. */
export function sidecarGauges(
  state: SidecarState,
  services: NodeServices,
): GaugeSource[] {
  const gaugeWithoutLabels = (
    name: string,
    help: string,
    read: () => number,
  ) => ({
    name,
    help,
    labels: [],
    read: () => [{ labels: {}, value: read() }],
  });
  return [
    gaugeWithoutLabels(
      "load_tokens",
      "Outstanding work of the endpoint in tokens",
      () => loadTokensOf(state),
    ),
    gaugeWithoutLabels(
      "pool_mean_tokens",
      "Mean outstanding work of the endpoints of the pool, as known here",
      () =>
        state.loadBound.poolMeanTokens(
          loadTokensOf(state),
          services.clock.nowMs(),
        ),
    ),
    gaugeWithoutLabels(
      "queued_attempts",
      "Attempts that wait for a slot of the endpoint",
      () => state.queue.size,
    ),
    gaugeWithoutLabels(
      "running_attempts",
      "Attempts that the endpoint works on",
      () => state.runningAttemptIds.size,
    ),
    gaugeWithoutLabels(
      "config_version",
      "Configuration version in force",
      () => state.configVersion,
    ),
    ...trafficGauges(services),
  ];
}
