import type { Millis } from "../clock.js";
import { isCold } from "../cold/index.js";
import { type RunCopy, startCopy } from "../copies/index.js";
import type { ExpectedTimeScore } from "../cost/index.js";
import { transitionRequest } from "../router/request_machine.js";
import { affinityKeyOf } from "./affinity_key.js";
import { announceTrial, refuseBlocked } from "./blocked_requests.js";
import { type Choice, chooseEndpoint } from "./choose_endpoint.js";
import type { DirectEndpoint } from "./direct_endpoint.js";
import type {
  DirectEffect,
  DirectRefusalReason,
  StartAttempt,
} from "./direct_event.js";
import { isAvailable, shortageOf } from "./endpoint_availability.js";
import { consumeRoom } from "./endpoint_limits.js";
import {
  EVACUATED_RETRY_AFTER_MS,
  isInClosedDomain,
  openEndpoints,
} from "./evacuated_domains.js";
import {
  type ActiveAttempt,
  type ActiveRequest,
  directoryAgeMs,
  type DirectState,
  isEligible,
  prefillRateOf,
} from "./direct_state.js";
import { finishRequest, refuse } from "./direct_finish.js";
import { isRetryable } from "./direct_rules.js";
import {
  cacheCapacityOf,
  type CachedTokens,
  cachedTokensOf,
  cacheFillOf,
  sharedPartsOf,
} from "./cached_prompt.js";
import { expectedTimeScoreOf, forecastOf, startWork } from "./request_cost.js";
import { sumTokens } from "./prompt_cache_index.js";

/** No attempt is started if less than this is left until the deadline. */
const MIN_ATTEMPT_MS: Millis = 5;

/** Maximum of the time-out that {@link attemptTimeoutOf} returns. */
const MAX_ATTEMPT_TIMEOUT_MS: Millis = 1500;

/**
 * Fraction of the latency objective after which an attempt times out. Most
 * answers have begun by then, and a retry can still meet the objective.
 */
const LATENCY_OBJECTIVE_FRACTION = 0.6;

/**
 * Minimum time-out of an attempt, as a multiple of the typical time to the head
 * of an answer on its route. {@link MAX_ATTEMPT_TIMEOUT_MS} and {@link
 * REMAINING_TIME_FRACTION} take precedence.
 */
const TYPICAL_TIME_TO_HEAD_MULTIPLE = 4;

/**
 * Maximum time-out of an attempt, as a fraction of the time to the deadline.
 */
const REMAINING_TIME_FRACTION = 0.5;

/**
 * Fleets of up to this many routers apply the configured load bound multiple.
 */
const SMALL_FLEET_ROUTERS = 8;

/**
 * In larger fleets, the load bound multiple is `1 + (configured multiple - 1) *
 * LARGE_FLEET_EXCESS_FRACTION`.
 */
const LARGE_FLEET_EXCESS_FRACTION = 0.5;

/**
 * A cached prompt prefix is copied between endpoints only if that adds at least
 * this many cached tokens; otherwise the transfer costs more than it saves.
 */
const MIN_FETCHED_TOKENS = 256;

/** Urgency of the least urgent requests; 0 is the most urgent. */
const MAX_URGENCY = 9;

/**
 * Starts an attempt at the best endpoint, unless the request is blocked.
 * If no endpoint is available or too little time is left, refuses the request,
 * or aborts the answer if a part of it was already relayed.
 */
export function placeRequest(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  const leftMs = request.deadlineAtMs - nowMs;
  const cachedTokens = cachedTokensOf(state, request);
  const score = expectedTimeScoreOf(state, request, cachedTokens, nowMs);
  const choice = leftMs < MIN_ATTEMPT_MS
    ? undefined
    : choosePlace(state, request, cachedTokens, score, nowMs);
  const hasSoundEndpoint = choice !== undefined &&
    choice.reason !== "last_resort";
  const refusal = refuseBlocked(state, request, nowMs, hasSoundEndpoint);
  if (refusal) {
    return refusal;
  }
  const shortage = shortageOf(state, request, nowMs);
  if (shortage) {
    const { reason, retryAfterMs } = shortage;
    return endUnplaced(state, request, nowMs, reason, retryAfterMs);
  }
  if (!choice) {
    return endWithoutChoice(state, request, nowMs);
  }
  request.snapshot =
    transitionRequest(request.snapshot, { type: "placed" }).snapshot;
  return startAttempt(state, request, choice, cachedTokens, score, nowMs);
}

/** Whether enough time is left until the deadline for another attempt. */
export function hasTimeForAttempt(
  { deadlineAtMs }: ActiveRequest,
  nowMs: Millis,
): boolean {
  return deadlineAtMs - nowMs >= MIN_ATTEMPT_MS;
}

/** Resumes the run of a request at the endpoint that has a copy of it. */
export function placeAtCopy(
  state: DirectState,
  request: ActiveRequest,
  { holder: { endpoint } }: RunCopy,
  nowMs: Millis,
): DirectEffect[] {
  request.snapshot =
    transitionRequest(request.snapshot, { type: "placed" }).snapshot;
  const load = endpoint.load(nowMs);
  const choice: Choice = {
    endpoint,
    reason: "copy",
    load,
    meanLoad: load,
    candidates: 1,
    cachedTokens: request.call.promptTokens,
  };
  return startAttempt(state, request, choice, () => 0, undefined, nowMs);
}

/** Ends a request for which no endpoint is left, or too little time. */
function endWithoutChoice(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  const reason = request.deadlineAtMs - nowMs < MIN_ATTEMPT_MS
    ? "deadline_passed"
    : request.lastFailureReason ?? reasonWithoutEndpoint(state, request, nowMs);
  const retryAfterMs = reason === "domain_evacuated"
    ? EVACUATED_RETRY_AFTER_MS
    : undefined;
  return endUnplaced(state, request, nowMs, reason, retryAfterMs);
}

function reasonWithoutEndpoint(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectRefusalReason {
  const { directory } = state;
  const { origin, service } = request;
  if (isKeptBackByEvacuation(state, request, nowMs)) {
    return "domain_evacuated";
  }
  if (!origin) {
    return "no_endpoint";
  }
  if (origin.isUncertain) {
    return "stream_version_unknown";
  }
  // The list has endpoints of the version, whose processes may have ended.
  return directory.ofService(service).some(({ isReady, record }) =>
      isReady && record.softwareVersion === origin.softwareVersion
    )
    ? "endpoints_unreachable"
    : "stream_version_gone";
}

/** Whether ready endpoints could serve the request but for an evacuation. */
function isKeptBackByEvacuation(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): boolean {
  if (state.evacuations.isEmpty) {
    return false;
  }
  const open = new Set(openEndpoints(state, request, nowMs));
  return state.directory.ofService(request.service).some((endpoint) =>
    endpoint.isReady && !open.has(endpoint) &&
    isEligible(state, request, endpoint, nowMs)
  );
}

/** Returns undefined if no endpoint can take the request. */
function choosePlace(
  state: DirectState,
  request: ActiveRequest,
  cachedTokens: CachedTokens,
  score: ExpectedTimeScore | undefined,
  nowMs: Millis,
): Choice | undefined {
  const { tokensPerMs } = prefillRateOf(state, request.service);
  return chooseEndpoint(
    openEndpoints(state, request, nowMs),
    {
      affinityKey: affinityKeyOf(request),
      cachedTokens,
      backlogTokens: ({ prefillBacklog }) =>
        prefillBacklog.remaining(nowMs, tokensPerMs),
      cacheFill: (endpoint) => cacheFillOf(state, endpoint),
      sharedTokens: sumTokens(sharedPartsOf(request)),
      failureDomain: state.options.failureDomain,
      triedEndpointIds: request.triedEndpointIds,
      isEligible: (endpoint) =>
        isEligible(state, request, endpoint, nowMs) &&
        isAvailable(state, endpoint, nowMs),
      isLimited: (endpoint) =>
        endpoint.limit.limitPerS !== undefined ||
        isCold(state, endpoint, nowMs),
      loadBoundMultiple: effectiveLoadBoundMultiple(state),
      score,
    },
    nowMs,
  );
}

/** Ends a request for which no endpoint can be chosen. */
function endUnplaced(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
  reason: DirectRefusalReason,
  retryAfterMs?: Millis,
): DirectEffect[] {
  request.snapshot =
    transitionRequest(request.snapshot, { type: "no_endpoint" }).snapshot;
  const effects: DirectEffect[] = reason === "domain_evacuated"
    ? [{
      type: "measure",
      measurement: {
        metric: "evacuation_refusals_total",
        value: 1,
        labels: {},
      },
    }]
    : [];
  return [
    ...effects,
    ...request.answerStarted
      ? finishRequest(state, request, nowMs, "broken_off", reason)
      : refuse(state, request, nowMs, reason, retryAfterMs),
  ];
}

/**
 * Load bound multiple for the size of the fleet. It is reduced in a
 * large fleet, where each router sends only a small part of the requests and
 * receives the load reports of its peers with a delay.
 */
function effectiveLoadBoundMultiple(
  { fleetSize, options }: DirectState,
): number {
  const { loadMultiple } = options;
  return fleetSize.routers <= SMALL_FLEET_ROUTERS
    ? loadMultiple
    : 1 + (loadMultiple - 1) * LARGE_FLEET_EXCESS_FRACTION;
}

function startAttempt(
  state: DirectState,
  request: ActiveRequest,
  choice: Choice,
  cachedTokens: CachedTokens,
  score: ExpectedTimeScore | undefined,
  nowMs: Millis,
): DirectEffect[] {
  const { endpoint } = choice;
  const leftMs = request.deadlineAtMs - nowMs;
  const number = ++request.attemptCount;
  const resumedCopy = choice.reason === "copy" ? request.copy : undefined;
  const cacheSource = resumedCopy
    ? undefined
    : cacheSourceOf(state, request, choice, cachedTokens, nowMs);
  const forecast = forecastOf(choice, score, cacheSource);
  endpoint.localInFlight++;
  endpoint.backoff.recordRequest(nowMs);
  consumeRoom(state, request, endpoint, nowMs);
  request.triedEndpointIds.add(endpoint.id);
  const { tokensPerMs } = prefillRateOf(state, request.service);
  const attempt: ActiveAttempt = {
    number,
    endpoint,
    startedMs: nowMs,
    work: startWork(state, request, endpoint, score, nowMs),
    forecast,
    prefillTokens: endpoint.prefillBacklog.remaining(nowMs, tokensPerMs) +
      Math.max(0, request.call.promptTokens - choice.cachedTokens),
    softwareVersion: endpoint.record.softwareVersion,
    hasHead: false,
  };
  request.attempt = attempt;
  if (resumedCopy) {
    resumedCopy.resumedBy = number;
  }
  const copied = resumedCopy ? [] : startCopy(state, request, attempt, {
    meanLoad: choice.meanLoad,
    loadBoundMultiple: effectiveLoadBoundMultiple(state),
  }, nowMs);
  const effects: DirectEffect[] = [
    ...copied,
    ...announceTrial(state, request, nowMs),
    attemptEffect(request, attempt, cacheSource, leftMs),
    ...recordPromptCache(state, request, endpoint, nowMs),
  ];
  const timeoutMs = attemptTimeoutOf(state, request, leftMs);
  if (timeoutMs !== undefined) {
    effects.push({
      type: "set_timer",
      key: request.key,
      timer: "attempt",
      delayMs: timeoutMs,
    });
  }
  effects.push(logPlacement(state, request, choice, cacheSource, nowMs), {
    type: "measure",
    measurement: {
      metric: "direct_attempts_total",
      value: 1,
      labels: { decision: choice.reason },
    },
  });
  return effects;
}

/** Effect that sends the request of an attempt to its endpoint. */
function attemptEffect(
  { account, answerStarted, call, copy, key, route }: ActiveRequest,
  { endpoint: { id, record }, number }: ActiveAttempt,
  cacheSource: DirectEndpoint | undefined,
  leftMs: Millis,
): DirectEffect {
  return {
    type: "start_attempt",
    key,
    attemptNumber: number,
    endpointId: id,
    incarnation: record.incarnation,
    address: record.address,
    callId: call.callId,
    deadlineMs: Math.floor(leftMs),
    accountName: account?.name,
    urgency: call.model === undefined
      ? undefined
      : Math.min(MAX_URGENCY, account?.priority ?? route.priority),
    resume: answerStarted,
    retryable: isRetryable(route),
    resumable: route.resumable,
    fetchCacheFrom: cacheSource?.record.address,
    ...copyAddresses(copy),
  };
}

function copyAddresses(
  copy: RunCopy | undefined,
): Pick<StartAttempt, "copyFrom" | "copyTo"> {
  if (!copy) {
    return {};
  }
  const { holder: { address }, resumedBy } = copy;
  return resumedBy === undefined ? { copyTo: address } : { copyFrom: address };
}

/**
 * Time-out of an attempt. The request is retried elsewhere if the head of the
 * answer has not arrived by then or, on streams, if no body bytes have arrived.
 * Undefined if the request must not be retried.
 */
function attemptTimeoutOf(
  state: DirectState,
  request: ActiveRequest,
  leftMs: Millis,
): Millis | undefined {
  const { route } = request;
  if (
    !isRetryable(route) || request.possibleExecutions + 1 >= route.maxAttempts
  ) {
    return undefined;
  }
  const objectiveMs = route.objectiveMs ?? Number.POSITIVE_INFINITY;
  return Math.min(
    MAX_ATTEMPT_TIMEOUT_MS,
    Math.max(
      objectiveMs * LATENCY_OBJECTIVE_FRACTION,
      (state.typicalTimeToHeadMs.get(route.name) ?? 0) *
        TYPICAL_TIME_TO_HEAD_MULTIPLE,
    ),
    leftMs * REMAINING_TIME_FRACTION,
  );
}

/**
 * Endpoint from which the chosen endpoint can copy a longer cached prefix of
 * the prompt; undefined if there is none. Copying the prefix takes a small part
 * of the time that computing it takes. Draining endpoints count, as they still
 * serve their cache; endpoints that are cold, have a limit or are in a backoff do
 * not, as a copy is work for them. Those in an evacuated domain count until the
 * requests have moved, since the chats that move need their caches.
 */
function cacheSourceOf(
  state: DirectState,
  request: ActiveRequest,
  choice: Choice,
  cachedTokens: CachedTokens,
  nowMs: Millis,
): DirectEndpoint | undefined {
  let source: DirectEndpoint | undefined;
  let mostTokens = choice.cachedTokens + MIN_FETCHED_TOKENS - 1;
  for (const endpoint of state.directory.ofService(request.service)) {
    const tokens = cachedTokens(endpoint);
    if (
      endpoint !== choice.endpoint && tokens > mostTokens &&
      !isInClosedDomain(state, endpoint, nowMs) &&
      !endpoint.isSuspected(nowMs) &&
      endpoint.limit.limitPerS === undefined &&
      !isCold(state, endpoint, nowMs) &&
      endpoint.backoff.waitMs(nowMs) === 0
    ) {
      source = endpoint;
      mostTokens = tokens;
    }
  }
  return source;
}

/**
 * Records the shared prompt parts that the endpoint caches when it processes
 * the request, and broadcasts those that were not recorded before.
 */
function recordPromptCache(
  state: DirectState,
  request: ActiveRequest,
  { id, prefillBacklog, record }: DirectEndpoint,
  nowMs: Millis,
): DirectEffect[] {
  const added = state.promptCacheIndex.record(
    id,
    record.incarnation,
    sharedPartsOf(request),
    cacheCapacityOf(state, record.service),
  );
  if (added.length === 0) {
    return [];
  }
  prefillBacklog.add(
    nowMs,
    sumTokens(added),
    prefillRateOf(state, record.service).tokensPerMs,
  );
  return [{
    type: "broadcast_prompt_cache_entry",
    entry: { endpointId: id, incarnation: record.incarnation, parts: added },
  }];
}

function logPlacement(
  state: DirectState,
  request: ActiveRequest,
  { cachedTokens, candidates, endpoint, load, meanLoad, reason }: Choice,
  cacheSource: DirectEndpoint | undefined,
  nowMs: Millis,
): DirectEffect {
  const ageMs = endpoint.reportAgeMs(nowMs);
  return {
    type: "log",
    event: "direct_attempt_started",
    fields: {
      request_id: request.call.callId,
      route: request.route.name,
      account: request.account?.name,
      service: request.service,
      endpoint: endpoint.id,
      software_version: endpoint.record.softwareVersion,
      continues: request.call.continuedCallId,
      attempt: request.attemptCount,
      decision: reason,
      prompt_part: affinityKeyOf(request),
      cached_tokens: cachedTokens,
      shared_tokens: sumTokens(sharedPartsOf(request)),
      prefill_tokens: request.attempt &&
        Math.round(request.attempt.prefillTokens),
      expected_ms: roundedOrNone(request.attempt?.forecast?.firstEventMs),
      expected_output_tokens: roundedOrNone(
        request.attempt?.forecast?.outputTokens,
      ),
      fetch_from: cacheSource?.id,
      copy_to: reason === "copy" ? undefined : request.copy?.holder.endpoint.id,
      copy_from: reason === "copy" ? endpoint.id : undefined,
      load,
      mean_load: Math.round(meanLoad * 100) / 100,
      load_age_ms: ageMs === undefined ? undefined : Math.round(ageMs),
      candidates,
      left_ms: Math.round(request.deadlineAtMs - nowMs),
      config_version: state.configIndex?.version,
      directory_age_ms: directoryAgeMs(state, nowMs),
    },
  };
}

function roundedOrNone(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}
