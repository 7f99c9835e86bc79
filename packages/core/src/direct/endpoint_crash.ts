// Tells endpoints that crashed from connections that only broke, and names the
// prompt parts that were in flight when an endpoint crashed.

import type { Millis } from "../clock.js";
import { handleSuspectChanges } from "./blocked_parts.js";
import type { DirectEndpoint } from "./direct_endpoint.js";
import type { DirectEffect, DirectEvent } from "./direct_event.js";
import type { ActiveRequest, DirectState } from "./direct_state.js";
import type { SuspectReport } from "./prompt_suspects.js";
import { sharedPromptParts } from "./prompt_parts.js";

/** Names a process of an endpoint, of which the same id may have several. */
function endpointProcessOf({ id, record }: DirectEndpoint): string {
  return `${id}@${record.incarnation}`;
}

/** Avoids the endpoints that other routers saw crash. */
export function avoidCrashedEndpoints(
  state: DirectState,
  reports: readonly SuspectReport[],
  nowMs: Millis,
): void {
  for (const { crashes } of reports) {
    for (const { ageMs, endpoint: name } of crashes) {
      const endpoint = state.directory.get(
        name.slice(0, name.lastIndexOf("@")),
      );
      if (endpoint && endpointProcessOf(endpoint) === name) {
        endpoint.markCrashed(nowMs - ageMs);
      }
    }
  }
}

/** What an attempt that broke off had sent. */
interface BrokenAttempt {
  /** Ids of the shared prompt parts. */
  readonly partIds: readonly string[];
  readonly contentDigest: string;
}

/** Attempts that broke off at an endpoint, while it is checked. */
export interface CrashCheck {
  readonly endpoint: DirectEndpoint;
  readonly attempts: BrokenAttempt[];
}

/** Maximum number of part ids, and of digests, that a log line names. */
const MAX_LOGGED_IDS = 12;

/**
 * Records an attempt that broke off after its request was sent, and has the
 * endpoint checked: one that crashed does not listen any more. An endpoint that
 * leaves may end as planned, so it is not checked.
 */
export function checkForCrash(
  state: DirectState,
  request: ActiveRequest,
  endpoint: DirectEndpoint,
): DirectEffect[] {
  const { id, lapsedUntilMs, record } = endpoint;
  if (
    state.directory.get(id) !== endpoint || record.state !== "ready" ||
    lapsedUntilMs !== undefined
  ) {
    return [];
  }
  const { call } = request;
  const attempt = {
    partIds: sharedPromptParts(call).map((part) => part.id),
    contentDigest: call.contentDigest(),
  };
  const pending = state.crashChecks.get(id);
  if (pending?.endpoint === endpoint) {
    pending.attempts.push(attempt);
    return [];
  }
  state.crashChecks.set(id, { endpoint, attempts: [attempt] });
  return [{ type: "check_endpoint", endpointId: id, address: record.address }];
}

/**
 * Holds the crash of an endpoint against the prompt parts of the requests that
 * it had.
 */
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
  const { attempts, endpoint } = check;
  const { service } = endpoint.record;
  endpoint.markCrashed(nowMs);
  const changed = attempts.flatMap(({ partIds }) =>
    state.promptSuspects.recordCrash(
      nowMs,
      service,
      endpointProcessOf(endpoint),
      partIds,
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
        prompt_parts: loggedIds(attempts.flatMap(({ partIds }) => partIds)),
        request_digests: loggedIds(
          attempts.map(({ contentDigest }) => contentDigest),
        ),
      },
    },
    ...handleSuspectChanges(state, changed, nowMs, {
      source: "crash",
      isOwn: true,
    }),
  ];
}

function loggedIds(ids: readonly string[]): string {
  return [...new Set(ids)].slice(0, MAX_LOGGED_IDS).join(",");
}
