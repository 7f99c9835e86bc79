import { type RouterState, unusableReason } from "@anvildeal/core";
import type { CallerMemory } from "../caller_memory/index.js";
import type { GaugeSource } from "../metrics/index.js";
import type { NodeServices } from "../node_services.js";

const BYTES_PER_MB = 1024 * 1024;

/**
 * Body of `/status` of a router: its load and its view of the endpoints and
 * routers of the fleet.
 */
export function routerStatus(
  state: RouterState,
  services: NodeServices,
  configVersion: number,
) {
  const nowMs = services.clock.nowMs();
  const instances = [...state.membership.instances.values()];
  return {
    node_id: services.identity.nodeId,
    role: "router",
    failure_domain: services.identity.failureDomain,
    incarnation: services.identity.incarnation,
    config_version: configVersion,
    draining: state.draining,
    list_version: state.membership.listVersion,
    requests_in_flight: state.requests.size,
    evacuated_failure_domains: [...state.config?.evacuatedDomains ?? []]
      .map((name) => ({
        name,
        requests_in_flight: requestsIn(state, name),
      })),
    rss_mb: process.memoryUsage.rss() / BYTES_PER_MB,
    cpu_ms: processCpuMs(),
    endpoints: instances
      .filter(({ row }) => row.role === "endpoint")
      .map(({ row, incarnation, suspicionMs }) => ({
        endpoint_id: row.instanceId,
        pool: row.pool,
        failure_domain: row.failureDomain,
        address: row.address,
        incarnation,
        listed_state: row.state,
        unusable: unusableReason(state.membership, row.instanceId, nowMs) ??
          null,
        suspicion_ms: suspicionMs,
        load_tokens:
          state.sidecarConnections.get(row.instanceId)?.status?.loadTokens ??
            null,
        config_version: state.sidecarConnections.get(row.instanceId)?.status
          ?.configVersion ?? null,
      })),
    routers: instances
      .filter(({ row }) => row.role === "router")
      .map(({ row }) => ({
        router_id: row.instanceId,
        failure_domain: row.failureDomain,
        address: row.address,
        state: row.state,
      })),
    traffic: trafficStatus(services),
  };
}

/** Number of this router's requests that run in a failure domain. */
function requestsIn(state: RouterState, failureDomain: string): number {
  return [...state.requests.values()].filter(({ attempt }) =>
    attempt !== undefined &&
    state.membership.instances.get(attempt.endpointId)?.row.failureDomain ===
      failureDomain
  ).length;
}

/** Bytes exchanged with peers, by kind of message, and with the object API. */
export function trafficStatus(services: NodeServices) {
  return {
    peer: services.meter.rows(),
    peer_socket_bytes: services.meter.socketBytes,
    control_bytes: services.meter.controlBytes(),
    store: services.storeTraffic,
  };
}

/** Processor time that this process has used, in milliseconds. */
export function processCpuMs(): number {
  const US_PER_MS = 1000;
  const { user, system } = process.cpuUsage();
  return (user + system) / US_PER_MS;
}

/** Gauges of a router; their values are read on each scrape. */
export function routerGauges(
  state: RouterState,
  services: NodeServices,
): GaugeSource[] {
  return [
    {
      name: "config_version",
      help: "Configuration version in force",
      labels: [],
      read: () => [{ labels: {}, value: state.config?.version ?? 0 }],
    },
    {
      name: "requests_in_flight",
      help: "Requests that have no complete answer yet",
      labels: [],
      read: () => [{ labels: {}, value: state.requests.size }],
    },
    ...trafficGauges(services),
  ];
}

/** Gauge of the bytes that a router holds for callers. */
export function callerMemoryGauge(memory: CallerMemory): GaugeSource {
  return {
    name: "caller_memory_bytes",
    help: "Bytes held for callers, bounded by the settings",
    labels: [],
    read: () => [{ labels: {}, value: memory.heldBytes }],
  };
}

/** Gauges of the traffic with peers and the object API since the start. */
export function trafficGauges(services: NodeServices): GaugeSource[] {
  return [
    {
      name: "peer_bytes",
      help: "Bytes exchanged with anvildeal processes and the platform",
      labels: ["kind", "direction", "control"],
      read: () => [...peerRows(services), ...storeRows(services)],
    },
    {
      name: "peer_socket_bytes",
      help: "Bytes that the sockets of the same connections report",
      labels: [],
      read: () => [{
        labels: {},
        value: services.meter.socketBytes +
          storeRows(services).reduce((sum, { value }) => sum + value, 0),
      }],
    },
    {
      name: "store_calls",
      help: "Calls of the object API since the start",
      labels: ["kind"],
      read: () =>
        Object.entries(services.storeTraffic).map(([kind, { calls }]) => ({
          labels: { kind },
          value: calls,
        })),
    },
  ];
}

function peerRows(services: NodeServices) {
  return services.meter.rows().map(({ kind, direction, control, bytes }) => ({
    labels: { kind, direction, control: String(control) },
    value: bytes,
  }));
}

/** Rows of the traffic with the object API; all of it is control traffic. */
function storeRows(services: NodeServices) {
  return Object.entries(services.storeTraffic).map(([kind, { bytes }]) => ({
    labels: { kind: `store_${kind}`, direction: "both", control: "true" },
    value: bytes,
  }));
}
