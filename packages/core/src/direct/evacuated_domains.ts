// Keeps requests away from failure domains that operators have ordered to
// evacuate, and reports which requests still run there.

import type { Millis } from "../clock.js";
import { markCold } from "../cold/index.js";
import { affinityKeyOf } from "./affinity_key.js";
import type { DirectEndpoint } from "./direct_endpoint.js";
import type { DirectEffect, DirectEvent } from "./direct_event.js";
import type { ActiveRequest, DirectState } from "./direct_state.js";

/** Time after which a request may return that is refused only for an evacuation. */
export const EVACUATED_RETRY_AFTER_MS: Millis = 1000;

/** Applies a list of ordered failure domains; logs each change. */
export function applyEvacuations(
  state: DirectState,
  { failureDomains, maxAgeMs, nowMs, source }: Extract<
    DirectEvent,
    { type: "evacuations_changed" }
  >,
): DirectEffect[] {
  state.evacuationsKnown = true;
  const { ordered, withdrawn } = state.evacuations.apply(
    failureDomains,
    nowMs,
    maxAgeMs,
  );
  return [
    ...ordered.map((name) => logOrder(state, name, source)),
    ...withdrawn.flatMap((name): DirectEffect[] => [
      {
        type: "log",
        event: "evacuation_ended",
        fields: {
          failure_domain: name,
          source,
          endpoints: endpointsOfDomain(state, name).length,
        },
      },
      ...markCold(state, name, nowMs),
    ]),
  ];
}

function endpointsOfDomain(
  { directory }: DirectState,
  failureDomain: string,
): DirectEndpoint[] {
  return [...directory.all()].filter(({ record }) =>
    record.failureDomain === failureDomain
  );
}

/** Endpoints of the request's service to which evacuations let it be sent. */
export function openEndpoints(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): readonly DirectEndpoint[] {
  const { directory, evacuations } = state;
  const endpoints = directory.ofService(request.service);
  if (evacuations.isEmpty) {
    return endpoints;
  }
  const key = affinityKeyOf(request) ?? request.call.callId ??
    String(request.key);
  return endpoints.filter(({ record }) =>
    evacuations.allows(record.failureDomain, key, nowMs)
  );
}

/** Whether an evacuation forbids everything that would be sent to the endpoint. */
export function isInClosedDomain(
  { evacuations }: DirectState,
  { record }: DirectEndpoint,
  nowMs: Millis,
): boolean {
  return evacuations.isClosed(record.failureDomain, nowMs);
}

/** Number of this router's requests that run in each ordered failure domain. */
export function requestsInEvacuatedDomains(
  state: DirectState,
): ReadonlyMap<string, number> {
  const counts = new Map(
    state.evacuations.failureDomains.map((name) => [name, 0]),
  );
  if (counts.size === 0) {
    return counts;
  }
  for (const { attempt } of state.requests.values()) {
    const name = attempt?.endpoint.record.failureDomain;
    const count = name === undefined ? undefined : counts.get(name);
    if (count !== undefined) {
      counts.set(name!, count + 1);
    }
  }
  return counts;
}

/** Logs the evacuated domains in which this router's last request has ended. */
export function reportCompleteEvacuations(
  state: DirectState,
  nowMs: Millis,
): DirectEffect[] {
  if (state.evacuations.isEmpty) {
    return [];
  }
  const running = requestsInEvacuatedDomains(state);
  return state.evacuations
    .takeCompleted(nowMs, (name) => (running.get(name) ?? 0) > 0)
    .map((name) => ({
      type: "log",
      event: "evacuation_complete",
      fields: { failure_domain: name },
    }));
}

/** Logs an order with what this router has there and what remains elsewhere. */
function logOrder(
  state: DirectState,
  name: string,
  source: string,
): DirectEffect {
  const ordered = new Set(state.evacuations.failureDomains);
  const remaining = new Map<string, number>();
  let slots = 0;
  for (const { isReady, record } of state.directory.all()) {
    const remains = isReady && !ordered.has(record.failureDomain);
    remaining.set(
      record.service,
      (remaining.get(record.service) ?? 0) + (remains ? 1 : 0),
    );
    slots += remains ? record.slots ?? 0 : 0;
  }
  return {
    type: "log",
    event: "evacuation_ordered",
    fields: {
      failure_domain: name,
      source,
      endpoints: endpointsOfDomain(state, name).length,
      running: requestsInEvacuatedDomains(state).get(name),
      remaining_endpoints: [...remaining]
        .map(([service, count]) => `${service}:${count}`).join(","),
      remaining_slots: slots,
    },
  };
}
