// Requests that wait for their placement while the router is behind.

import type { Millis } from "../clock.js";
import type { CallArrival, WaitingRequest } from "../overload/index.js";
import { transitionRequest } from "../router/request_machine.js";
import type { DirectEffect } from "./direct_event.js";
import { endAttemptEarly, refuse } from "./direct_finish.js";
import {
  type ActiveRequest,
  type DirectState,
  ifActiveRequest,
  retryBalanceOf,
  retryLimitsOf,
} from "./direct_state.js";
import { placeNewRequest } from "./origin_lookup.js";
import { endsBeforeStop } from "./planned_stop.js";

/** Lower priorities have the metric label of this one. */
const MAX_PRIORITY_LABEL = 9;

/** Places a new request, or lets it wait if the router is behind. */
export function placeOrWait(
  state: DirectState,
  request: ActiveRequest,
  arrival: CallArrival,
): DirectEffect[] {
  const { placementScheduler } = state;
  if (!placementScheduler) {
    return placeFirst(state, request, arrival.nowMs);
  }
  const decision = placementScheduler.arrive(
    arrival,
    () => waitingRequestOf(state, request),
  );
  switch (decision.type) {
    case "place":
      return placeFirst(state, request, arrival.nowMs);
    case "wait":
      request.isWaiting = true;
      return scheduleTurn(state);
    case "refuse":
      request.isWaiting = true;
      request.snapshot =
        transitionRequest(request.snapshot, { type: "no_endpoint" }).snapshot;
      return refuse(
        state,
        request,
        arrival.nowMs,
        "router_overloaded",
        decision.retryAfterMs,
      );
  }
}

/** Places the request whose turn it is. */
export function placeWaiting(
  state: DirectState,
  nowMs: Millis,
  lagMs: Millis,
): DirectEffect[] {
  const turn = state.placementScheduler?.beginTurn(nowMs, lagMs);
  if (!turn) {
    return [];
  }
  const { beginsPeriod, request: waiting } = turn;
  const placed = waiting === undefined ? [] : ifActiveRequest(
    state,
    waiting.key,
    (request) => [
      measureWait(request, waiting, nowMs),
      ...placeAfterWait(state, request, nowMs),
    ],
  );
  return [
    ...placed,
    ...scheduleTurn(state),
    ...beginsPeriod ? [logStart(state, lagMs)] : [],
  ];
}

/** Takes over the latency objectives of the configuration. */
export function applyObjectives(
  { configIndex, placementScheduler }: DirectState,
): DirectEffect[] {
  const objectivesMs =
    configIndex?.config.routes.flatMap(({ objectiveMs }) =>
      objectiveMs ?? []
    ) ?? [];
  placementScheduler?.setObjective(
    objectivesMs.length === 0 ? undefined : Math.min(...objectivesMs),
  );
  return [];
}

/** Reports a period of overload that is over. Called periodically. */
export function reviewOverload(
  state: DirectState,
  nowMs: Millis,
): DirectEffect[] {
  const { placementScheduler } = state;
  const summary = placementScheduler?.endPeriod(nowMs);
  const effects = scheduleTurn(state);
  if (!summary) {
    return effects;
  }
  return [...effects, {
    type: "log",
    event: "overload_ended",
    fields: {
      took_ms: Math.round(summary.tookMs),
      max_lag_ms: Math.round(summary.maxLagMs),
      max_waiting: summary.maxWaiting,
      placed: summary.placed,
      refused: summary.refused,
      ...accountFields(state),
    },
  }];
}

/**
 * Asks for a further turn if requests wait. A turn that was lost because of an
 * error is asked for again on the next tick.
 */
function scheduleTurn({ placementScheduler }: DirectState): DirectEffect[] {
  return placementScheduler?.requestTurn()
    ? [{ type: "schedule_placement" }]
    : [];
}

/** Retries are allowed for requests that reach a service, so they count now. */
function placeFirst(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  retryBalanceOf(state, request.service).recordRequest(retryLimitsOf(state));
  return placeNewRequest(state, request, nowMs);
}

/** Places a request unless a stop has begun that would cut it. */
function placeAfterWait(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  if (state.stopping && !endsBeforeStop(state, request, nowMs)) {
    return endAttemptEarly(state, request, nowMs, "stopping");
  }
  request.isWaiting = false;
  return placeFirst(state, request, nowMs);
}

function waitingRequestOf(
  { typicalTimeToHeadMs }: DirectState,
  { account, deadlineAtMs, key, receivedMs, route }: ActiveRequest,
): WaitingRequest {
  const usualMs = typicalTimeToHeadMs.get(route.name) ?? 0;
  const objectiveAtMs = route.objectiveMs === undefined
    ? deadlineAtMs
    : Math.min(deadlineAtMs, receivedMs + route.objectiveMs);
  return {
    key,
    kind: route.name,
    account: account?.name ?? "",
    priority: account?.priority ?? route.priority,
    arrivedMs: receivedMs,
    dueMs: objectiveAtMs - usualMs,
    lastDueMs: deadlineAtMs - usualMs,
    deadlineMs: deadlineAtMs,
  };
}

function measureWait(
  { receivedMs }: ActiveRequest,
  { priority }: WaitingRequest,
  nowMs: Millis,
): DirectEffect {
  return {
    type: "measure",
    measurement: {
      metric: "placement_wait_ms",
      value: nowMs - receivedMs,
      labels: { priority: String(Math.min(MAX_PRIORITY_LABEL, priority)) },
    },
  };
}

function logStart(state: DirectState, lagMs: Millis): DirectEffect {
  return {
    type: "log",
    event: "overload_started",
    fields: {
      lag_ms: Math.round(lagMs),
      waiting: state.placementScheduler?.waitingCount,
      ...accountFields(state),
    },
  };
}

/** The account that sent most of the requests that had to wait, and its part. */
function accountFields({ placementScheduler }: DirectState) {
  const largest = placementScheduler?.largestAccount;
  return {
    account: largest?.group,
    account_share: largest && Math.round(largest.share * 100) / 100,
  };
}
