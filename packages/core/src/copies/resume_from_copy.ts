// Resumes streams that may not be repeated from the copy of their run, after their
// endpoint has ended. A run must not go on at two endpoints, so a connection that
// broke off is not enough: the port of the endpoint must refuse a new one, or the
// directory must list another process in its place.

import type { Millis } from "../clock.js";
import {
  type ActiveAttempt,
  type ActiveRequest,
  type DirectState,
  hasUncertainVersion,
  retryBalanceOf,
  retryLimitsOf,
} from "../direct/direct_state.js";
import { refuseBlocked } from "../direct/blocked_requests.js";
import type {
  AttemptFailure,
  DirectEffect,
  DirectEvent,
  DirectRefusalReason,
} from "../direct/direct_event.js";
import { finishRequest, refuse } from "../direct/direct_finish.js";
import { hasTimeForAttempt, placeAtCopy } from "../direct/direct_place.js";
import { limitWaitMs } from "../direct/endpoint_limits.js";
import { avoidGoneEndpoint } from "../direct/endpoint_suspicion.js";
import { isInClosedDomain } from "../direct/evacuated_domains.js";
import { transitionRequest } from "../router/request_machine.js";
import { canBeContinued } from "../stream_continuation.js";
import { isCurrentProcess, type RunCopy } from "./run_copy.js";

/**
 * Fraction of the route's gap objective within which the end of the first endpoint
 * must be known. The rest is for the resumption.
 */
const GAP_OBJECTIVE_FRACTION = 0.5;

/** Gap objective of routes that set none. */
const DEFAULT_GAP_OBJECTIVE_MS: Millis = 1000;

/** Longest time for which the end of the first endpoint is awaited. */
const MAX_WAIT_MS: Millis = 1000;

/** Time within which a process that ends closes its connections and its port. */
const CLOSE_SPREAD_MS: Millis = 50;

/** How a resumption from a copy went; a label of a metric. */
export type ResumptionResult =
  /** The endpoint with the copy continues the answer. */
  | "continued"
  /** It has no copy, or does not want the request. */
  | "refused"
  /** Its answer is none that continues the stream, or none came. */
  | "failed"
  /** The first endpoint may still run the request. */
  | "not_ended"
  /** The endpoint with the copy has left or may not be used. */
  | "no_copy"
  | "no_retry_left";

/**
 * Whether the answer of a failed attempt may be resumed from a copy, once its
 * endpoint is known to have ended.
 *
 * @param canResume Whether the caller has nothing of the answer but complete
 *   events, of which the last is known.
 */
export function mayResumeFromCopy(
  state: DirectState,
  request: ActiveRequest,
  attempt: ActiveAttempt,
  { kind, sent }: AttemptFailure,
  canResume: boolean,
  nowMs: Millis,
): boolean {
  const { answerStarted, copy, relayedHead } = request;
  return copy?.attemptNumber === attempt.number && sent && kind === "reset" &&
    canResume && hasTimeForAttempt(request, nowMs) &&
    (!answerStarted || relayedHead !== undefined &&
        canBeContinued(relayedHead)) &&
    !isInClosedDomain(state, copy.source.endpoint, nowMs) &&
    holderProblem(state, copy, nowMs) === undefined;
}

/** Finds out whether the run of an answer that broke off has ended. */
export function awaitEndOfRun(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  const copy = request.copy!;
  const gapMs = request.route.gapObjectiveMs ?? DEFAULT_GAP_OBJECTIVE_MS;
  const waitMs = Math.min(MAX_WAIT_MS, gapMs * GAP_OBJECTIVE_FRACTION);
  copy.interruption = { brokenMs: nowMs, untilMs: nowMs + waitMs };
  if (isReplaced(state, copy)) {
    return resume(state, request, copy, nowMs);
  }
  state.interruptedRequests.add(request);
  return [
    { type: "set_timer", key: request.key, timer: "attempt", delayMs: waitMs },
    ...checkEnd(state, copy, 0, waitMs),
  ];
}

/** Resumes or ends the streams of an endpoint whose port was checked. */
export function handleEndCheck(
  state: DirectState,
  { address, nowMs, refusesConnections }: Extract<
    DirectEvent,
    { type: "end_checked" }
  >,
): DirectEffect[] {
  state.endChecks.delete(address);
  const waiting = waitingRuns(state).filter(({ copy }) =>
    copy.source.address === address
  );
  if (!refusesConnections) {
    return waiting.flatMap(({ copy, request }) =>
      isJustInterrupted(copy, nowMs)
        ? checkAgain(state, copy, nowMs)
        : endWaitForEnd(state, request, nowMs)
    );
  }
  const gone = waiting.filter(({ copy }) => isEndedByClosedPort(state, copy));
  const avoided = new Set(gone.map(({ copy }) => copy.source.endpoint));
  return [
    ...[...avoided].flatMap((endpoint) => avoidGoneEndpoint(endpoint, nowMs)),
    ...gone.flatMap(({ copy, request }) => resume(state, request, copy, nowMs)),
  ];
}

/** Resumes the streams of endpoints whose process the directory has replaced. */
export function resumeReplacedRuns(
  state: DirectState,
  nowMs: Millis,
): DirectEffect[] {
  return state.interruptedRequests.size === 0
    ? []
    : waitingRuns(state).filter(({ copy }) => isReplaced(state, copy))
      .flatMap(({ copy, request }) => resume(state, request, copy, nowMs));
}

/** Ends a stream whose first endpoint may still run the request. */
export function endWaitForEnd(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  return endInterrupted(state, request, nowMs, "endpoint_failed", "not_ended");
}

/** Counts the result of an attempt if it resumes a run from a copy. */
export function measureResumption(
  { copy }: ActiveRequest,
  { number }: ActiveAttempt,
  result: ResumptionResult,
): DirectEffect[] {
  return copy?.resumedBy === number ? [measureResult(result)] : [];
}

interface WaitingRun {
  readonly request: ActiveRequest;
  readonly copy: RunCopy;
}

function waitingRuns({ interruptedRequests }: DirectState): WaitingRun[] {
  return [...interruptedRequests].flatMap((request) =>
    request.copy ? [{ request, copy: request.copy }] : []
  );
}

/** One check at a time serves all streams that broke off at an address. */
function checkEnd(
  state: DirectState,
  { source: { address } }: RunCopy,
  delayMs: Millis,
  timeoutMs: Millis,
): DirectEffect[] {
  if (state.endChecks.has(address)) {
    return [];
  }
  state.endChecks.add(address);
  return [{ type: "check_end", address, delayMs, timeoutMs }];
}

/**
 * Whether the answer broke off so recently that the port of its endpoint may be
 * about to close, since a process that ends does not close everything at once.
 */
function isJustInterrupted({ interruption }: RunCopy, nowMs: Millis): boolean {
  const { brokenMs, untilMs } = interruption!;
  return nowMs < Math.min(untilMs, brokenMs + CLOSE_SPREAD_MS);
}

function checkAgain(
  state: DirectState,
  copy: RunCopy,
  nowMs: Millis,
): DirectEffect[] {
  return isInClosedDomain(state, copy.source.endpoint, nowMs) ? [] : checkEnd(
    state,
    copy,
    CLOSE_SPREAD_MS,
    copy.interruption!.untilMs - nowMs,
  );
}

/**
 * Whether a closed port shows that the run has ended. A process that leaves closes
 * its port first and completes its requests then, and one that has moved is no
 * longer expected at its earlier address.
 */
function isEndedByClosedPort(
  state: DirectState,
  { source }: RunCopy,
): boolean {
  const { address, endpoint } = source;
  return endpoint.isReady && endpoint.record.address === address &&
    (isCurrentProcess(state, source) ||
      state.directory.get(endpoint.id) === undefined);
}

/** Whether the directory lists a later process in place of the run's. */
function isReplaced(
  { directory }: DirectState,
  { source: { endpoint, incarnation } }: RunCopy,
): boolean {
  const listed = directory.get(endpoint.id);
  return listed !== undefined && listed !== endpoint &&
    listed.record.incarnation > incarnation;
}

/**
 * Why the endpoint with the copy cannot resume the run; undefined if it can. It may
 * be draining, suspected or cold, since no other endpoint has a copy.
 */
function holderProblem(
  state: DirectState,
  { holder, softwareVersion }: RunCopy,
  nowMs: Millis,
): ResumptionResult | undefined {
  const { endpoint } = holder;
  const isUsable = isCurrentProcess(state, holder) &&
    endpoint.record.softwareVersion === softwareVersion &&
    !hasUncertainVersion(state, endpoint, nowMs) &&
    !endpoint.isGone(nowMs) && !isInClosedDomain(state, endpoint, nowMs) &&
    endpoint.backoff.waitMs(nowMs) === 0 &&
    (endpoint.limit.limitPerS === undefined ||
      limitWaitMs(state, endpoint, nowMs) === 0);
  return isUsable ? undefined : "no_copy";
}

/** Sends the request to the endpoint with the copy, or ends its stream. */
function resume(
  state: DirectState,
  request: ActiveRequest,
  copy: RunCopy,
  nowMs: Millis,
): DirectEffect[] {
  const { service } = request;
  if (
    holderProblem(state, copy, nowMs) || !hasTimeForAttempt(request, nowMs)
  ) {
    return endInterrupted(state, request, nowMs, "endpoint_failed", "no_copy");
  }
  const balance = retryBalanceOf(state, service);
  if (!balance.allowsRetry(retryLimitsOf(state))) {
    return endInterrupted(
      state,
      request,
      nowMs,
      "retry_budget_spent",
      "no_retry_left",
    );
  }
  state.interruptedRequests.delete(request);
  copy.interruption = undefined;
  request.snapshot = transitionRequest(request.snapshot, {
    type: "failed_unknown",
    mayRetry: true,
  }).snapshot;
  const blocked = refuseBlocked(state, request, nowMs, false);
  if (blocked) {
    return blocked;
  }
  balance.tryConsumeRetry(retryLimitsOf(state));
  request.lastFailureReason = "endpoint_failed";
  return [
    { type: "clear_timer", key: request.key, timer: "attempt" },
    ...placeAtCopy(state, request, copy, nowMs),
  ];
}

/** Ends the stream like any other whose endpoint broke off. */
function endInterrupted(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
  reason: DirectRefusalReason,
  result: ResumptionResult,
): DirectEffect[] {
  request.snapshot = transitionRequest(request.snapshot, {
    type: "failed_unknown",
    mayRetry: false,
  }).snapshot;
  return [
    measureResult(result),
    ...request.answerStarted
      ? finishRequest(state, request, nowMs, "broken_off", reason)
      : refuse(state, request, nowMs, reason),
  ];
}

function measureResult(result: ResumptionResult): DirectEffect {
  return {
    type: "measure",
    measurement: {
      metric: "direct_resumptions_total",
      value: 1,
      labels: { result },
    },
  };
}
