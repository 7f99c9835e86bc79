import {
  type Clock,
  type DirectEndpoint,
  type DirectState,
  isCold,
} from "@anvildeal/core";
import type { GaugeSource } from "../metrics/index.js";

/** Gauges of a router that sends requests directly to endpoints. */
export function directGauges(
  state: DirectState,
  clock: Clock,
): GaugeSource[] {
  return [{
    name: "endpoint_pace_factor",
    help: "Mean pace of endpoints as a multiple of the usual time",
    labels: ["service"],
    read: () => meanPaces(state, clock),
  }, {
    name: "cold_endpoints",
    help: "Endpoints that count as cold",
    labels: ["service"],
    read: () => coldCounts(state, clock),
  }, {
    name: "waiting_requests",
    help: "Requests that wait for placement because the router is behind",
    labels: [],
    read: () => [{
      labels: {},
      value: state.placementScheduler?.waitingCount ?? 0,
    }],
  }];
}

function coldCounts(state: DirectState, clock: Clock) {
  const nowMs = clock.nowMs();
  return endpointsByService(state, () => true).map(([service, endpoints]) => ({
    labels: { service },
    value: endpoints.filter((endpoint) => isCold(state, endpoint, nowMs))
      .length,
  }));
}

function meanPaces(state: DirectState, clock: Clock) {
  const nowMs = clock.nowMs();
  return endpointsByService(state, ({ isPaceReported }) => isPaceReported)
    .map(([service, endpoints]) => ({
      labels: { service },
      value: endpoints.reduce((sum, { pace }) => sum + pace.factor(nowMs), 0) /
        endpoints.length,
    }));
}

/** Services that have endpoints with a property, with these endpoints. */
function endpointsByService(
  state: DirectState,
  hasProperty: (endpoint: DirectEndpoint) => boolean,
): [service: string, endpoints: DirectEndpoint[]][] {
  const byService = new Map<string, DirectEndpoint[]>();
  for (const endpoint of state.directory.all()) {
    if (hasProperty(endpoint)) {
      const { service } = endpoint.record;
      byService.set(service, [...byService.get(service) ?? [], endpoint]);
    }
  }
  return [...byService];
}
