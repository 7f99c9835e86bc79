// Tells endpoints that crashed from connections that only broke, and holds a
// crash against what the endpoint's requests have in common with others.

import type { Millis } from "../clock.js";
import type { LogFields } from "../log_events.js";
import { handleSuspectChanges } from "./blocked_requests.js";
import type { DirectEndpoint } from "./direct_endpoint.js";
import type { DirectEffect, DirectEvent } from "./direct_event.js";
import { isInClosedDomain } from "./evacuated_domains.js";
import type {
  ActiveAttempt,
  ActiveRequest,
  DirectState,
} from "./direct_state.js";
import {
  contentTraitOf,
  promptPartTraitsOf,
  type RequestTrait,
} from "./request_trait.js";
import type { SuspectReport } from "./suspect_report.js";

/** Names a process of an endpoint, of which the same id may have several. */
function endpointProcessOf({ id, record }: DirectEndpoint): string {
  return `${id}@${record.incarnation}`;
}

/** Avoids the endpoints that other routers saw crash, and expects further crashes. */
export function avoidCrashedEndpoints(
  state: DirectState,
  reports: readonly SuspectReport[],
  nowMs: Millis,
): void {
  for (const { crashes, service } of reports) {
    for (const { ageMs, endpoint: name } of crashes) {
      state.recentCrashes.record(service, nowMs - ageMs);
      const endpoint = state.directory.get(
        name.slice(0, name.lastIndexOf("@")),
      );
      if (endpoint && endpointProcessOf(endpoint) === name) {
        endpoint.markCrashed(nowMs - ageMs);
      }
    }
  }
}

/** Maximum number of part ids, and of digests, that a log line names. */
const MAX_LOGGED_IDS = 12;

/**
 * Records an attempt that broke off after its request was sent, and has the
 * endpoint checked: one that crashed does not listen any more. An endpoint that
 * leaves may end as planned, so it is not checked. Nothing is sent to one in an
 * evacuated domain.
 */
export function checkForCrash(
  state: DirectState,
  request: ActiveRequest,
  { endpoint, startedMs }: ActiveAttempt,
  nowMs: Millis,
): DirectEffect[] {
  const { id, isReady, lapsedUntilMs, record } = endpoint;
  if (
    state.directory.get(id) !== endpoint || !isReady ||
    lapsedUntilMs !== undefined || isInClosedDomain(state, endpoint, nowMs)
  ) {
    return [];
  }
  const attempt = {
    ranMs: nowMs - startedMs,
    isRetry: request.possibleExecutions > 0,
    traits: [contentTraitOf(request), ...promptPartTraitsOf(request)],
  };
  const pending = state.crashChecks.get(id);
  if (pending?.endpoint === endpoint) {
    pending.attempts.push(attempt);
    return [];
  }
  state.crashChecks.set(id, { endpoint, brokenMs: nowMs, attempts: [attempt] });
  return [{ type: "check_endpoint", endpointId: id, address: record.address }];
}

/** Holds the crash of an endpoint against the requests that it had. */
export function handleEndpointCheck(
  state: DirectState,
  event: Extract<DirectEvent, { type: "endpoint_checked" }>,
): DirectEffect[] {
  const { endpointId, nowMs, refusesConnections } = event;
  const check = state.crashChecks.get(endpointId);
  state.crashChecks.delete(endpointId);
  if (!check || !refusesConnections) {
    return [];
  }
  const { attempts, brokenMs, endpoint } = check;
  const { service } = endpoint.record;
  endpoint.recordPortClosed(nowMs);
  endpoint.markCrashed(nowMs);
  state.recentCrashes.record(service, brokenMs);
  const endpointProcess = endpointProcessOf(endpoint);
  const changed = attempts.flatMap(({ isRetry, ranMs, traits }) =>
    state.crashSuspects.recordCrash(
      nowMs,
      { endpointProcess, crashedMs: brokenMs, ranMs, isRetry },
      traits,
    )
  );
  return [
    {
      type: "log",
      event: "endpoint_crashed",
      fields: {
        endpoint: endpointId,
        service,
        broken_attempts: attempts.length,
        ...loggedTraits(attempts.flatMap(({ traits }) => traits)),
      },
    },
    ...handleSuspectChanges(state, changed, nowMs, {
      source: "crash",
      isOwn: true,
    }),
  ];
}

function loggedTraits(traits: readonly RequestTrait[]): LogFields {
  const partIds = new Set<string>();
  const digests = new Set<string>();
  for (const trait of traits) {
    if (trait.kind === "prompt_part") {
      partIds.add(trait.partId);
    } else {
      digests.add(trait.digest);
    }
  }
  const join = (ids: ReadonlySet<string>) =>
    [...ids].slice(0, MAX_LOGGED_IDS).join(",");
  return { prompt_parts: join(partIds), request_digests: join(digests) };
}
