import type { Millis } from "../clock.js";
import { advanceRequest } from "../router/request_machine.js";
import { type Choice, chooseEndpoint } from "./choose_endpoint.js";
import type { DirectEndpoint } from "./direct_endpoint.js";
import type { DirectCall, DirectEffect, PromptPart } from "./direct_event.js";
import type { ActiveRequest, DirectState } from "./direct_state.js";
import { finishRequest, refuse } from "./direct_finish.js";
import { isRepeatable } from "./direct_rules.js";

/** Time left below which no attempt is started. */
const MIN_ATTEMPT_MS: Millis = 5;

/** An attempt without an answer is repeated after this time at the latest. */
const MAX_PATIENCE_MS: Millis = 1500;

/**
 * Part of the latency objective after which an attempt without an answer is
 * repeated: late enough for most answers, early enough for another one.
 */
const PATIENCE_SHARE = 0.6;

/** Multiple of the usual time to the first bytes that is waited at least. */
const USUAL_MULTIPLE = 4;

/** Part of the time left after which an attempt is given up at the latest. */
const LEFT_SHARE = 0.5;

/** Routers up to which states are exchanged often enough for the full bound. */
const SMALL_FLEET_ROUTERS = 8;

/** Part of the load over the mean that routers of larger fleets use. */
const LARGE_FLEET_SHARE = 0.5;

/** Copying fewer tokens than this is not worth the transfer. */
const MIN_FETCHED_TOKENS = 256;

/** Urgency of accounts and routes that endpoints can tell apart. */
const MAX_URGENCY = 9;

/** Starts an attempt at the best endpoint, or refuses the request. */
export function placeRequest(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  const leftMs = request.deadlineAtMs - nowMs;
  const choice = leftMs < MIN_ATTEMPT_MS ? undefined : chooseEndpoint(
    state.directory.ofService(request.service),
    {
      affinityKey: affinityKeyOf(request),
      cachedTokens: (endpoint) => cachedTokens(state, request, endpoint),
      failureDomain: state.options.failureDomain,
      tried: request.tried,
      loadMultiple: loadMultipleOf(state),
    },
    nowMs,
  );
  if (!choice) {
    request.snapshot =
      advanceRequest(request.snapshot, { type: "no_endpoint" }).snapshot;
    const reason = leftMs < MIN_ATTEMPT_MS
      ? "deadline_passed"
      : request.lastRefusal ?? "no_endpoint";
    return request.answering
      ? finishRequest(state, request, nowMs, "broken_off", reason)
      : refuse(state, request, nowMs, reason);
  }
  request.snapshot =
    advanceRequest(request.snapshot, { type: "placed" }).snapshot;
  return startAttempt(state, request, choice, nowMs);
}

/**
 * In a large fleet each router sends a small part of the requests and hears of
 * the others' late, so it keeps more distance from the bound.
 */
function loadMultipleOf({ options, routerCount }: DirectState): number {
  const { loadMultiple } = options;
  return routerCount <= SMALL_FLEET_ROUTERS
    ? loadMultiple
    : 1 + (loadMultiple - 1) * LARGE_FLEET_SHARE;
}

function startAttempt(
  state: DirectState,
  request: ActiveRequest,
  choice: Choice,
  nowMs: Millis,
): DirectEffect[] {
  const { endpoint } = choice;
  const leftMs = request.deadlineAtMs - nowMs;
  const number = ++request.attemptCount;
  endpoint.ownInFlight++;
  request.tried.add(endpoint.id);
  request.attempt = { number, endpoint, startedMs: nowMs, hasHead: false };
  const fetchCacheFrom = cacheSourceOf(state, request, choice, nowMs);
  const effects: DirectEffect[] = [{
    type: "start_attempt",
    key: request.key,
    attempt: number,
    endpointId: endpoint.id,
    address: endpoint.record.address,
    deadlineMs: Math.floor(leftMs),
    accountName: request.account?.name,
    urgency: request.call.model === undefined ? undefined : Math.min(
      MAX_URGENCY,
      request.account?.priority ?? request.route.priority,
    ),
    resume: request.answering,
    idempotent: isRepeatable(request.route),
    resumable: request.route.resumable,
    fetchCacheFrom: fetchCacheFrom?.record.address,
  }, ...noteWarmth(state, request, endpoint)];
  const patienceMs = patienceOf(state, request, leftMs);
  if (patienceMs !== undefined) {
    effects.push({
      type: "set_timer",
      key: request.key,
      timer: "attempt",
      delayMs: patienceMs,
    });
  }
  effects.push(logPlacement(state, request, choice, fetchCacheFrom, nowMs), {
    type: "measure",
    measurement: {
      metric: "direct_attempts_total",
      value: 1,
      labels: { decision: choice.reason },
    },
  });
  return effects;
}

/** Time after which an attempt without an answer is repeated elsewhere. */
function patienceOf(
  state: DirectState,
  request: ActiveRequest,
  leftMs: Millis,
): Millis | undefined {
  const { route } = request;
  if (
    !isRepeatable(route) || request.possibleRuns + 1 >= route.maxAttempts
  ) {
    return undefined;
  }
  const objectiveMs = route.objectiveMs ?? Number.POSITIVE_INFINITY;
  return Math.min(
    MAX_PATIENCE_MS,
    Math.max(
      objectiveMs * PATIENCE_SHARE,
      (state.firstByteMs.get(route.name) ?? 0) * USUAL_MULTIPLE,
    ),
    leftMs * LEFT_SHARE,
  );
}

/** Prompt parts that other requests can have in common with this one. */
function sharedPartsOf({ call, route }: ActiveRequest): readonly PromptPart[] {
  return route.sticky ? call.promptParts.slice(0, -1) : [];
}

function cachedTokens(
  state: DirectState,
  request: ActiveRequest,
  { id, record }: DirectEndpoint,
): number {
  const parts = sharedPartsOf(request);
  return state.promptCacheIndex.cachedTokens(id, record.incarnation, parts);
}

/**
 * The endpoint from which the chosen one can copy the prompt's start. That
 * takes a small part of the time of reading it anew. Endpoints that leave
 * still serve their cache.
 */
function cacheSourceOf(
  state: DirectState,
  request: ActiveRequest,
  choice: Choice,
  nowMs: Millis,
): DirectEndpoint | undefined {
  let source: DirectEndpoint | undefined;
  let mostTokens = choice.cachedTokens + MIN_FETCHED_TOKENS - 1;
  for (const endpoint of state.directory.ofService(request.service)) {
    const tokens = cachedTokens(state, request, endpoint);
    if (
      endpoint !== choice.endpoint && tokens > mostTokens &&
      !endpoint.isSuspected(nowMs)
    ) {
      source = endpoint;
      mostTokens = tokens;
    }
  }
  return source;
}

function noteWarmth(
  state: DirectState,
  request: ActiveRequest,
  { id, record }: DirectEndpoint,
): DirectEffect[] {
  const added = state.promptCacheIndex.note(
    id,
    record.incarnation,
    sharedPartsOf(request),
    state.routes?.service(record.service)?.engine?.cacheTokens,
  );
  return added.length === 0 ? [] : [{
    type: "broadcast_prompt_cache_entry",
    entry: { endpointId: id, incarnation: record.incarnation, parts: added },
  }];
}

function sum(parts: readonly PromptPart[]): number {
  return parts.reduce((total, { tokens }) => total + tokens, 0);
}

/** The last part is the request's own; the one before it can be shared. */
function affinityKeyOf(request: ActiveRequest): string | undefined {
  return request.route.sticky ? sharedPartOf(request.call) : undefined;
}

/** Id of the longest shared start of the prompt. */
export function sharedPartOf({ promptParts }: DirectCall): string | undefined {
  return (promptParts.at(-2) ?? promptParts.at(-1))?.id;
}

function logPlacement(
  state: DirectState,
  request: ActiveRequest,
  { cachedTokens, candidates, endpoint, load, meanLoad, reason }: Choice,
  fetchCacheFrom: DirectEndpoint | undefined,
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
      attempt: request.attemptCount,
      decision: reason,
      prompt_part: affinityKeyOf(request),
      cached_tokens: cachedTokens,
      shared_tokens: sum(sharedPartsOf(request)),
      fetch_from: fetchCacheFrom?.id,
      load,
      mean_load: Math.round(meanLoad * 100) / 100,
      load_age_ms: ageMs === undefined ? undefined : Math.round(ageMs),
      candidates,
      left_ms: Math.round(request.deadlineAtMs - nowMs),
      config_version: state.routes?.version,
    },
  };
}
