// Estimates the cost of requests, and learns from finished streams.

import type { Millis } from "../clock.js";
import {
  type AttemptCost,
  type AttemptWork,
  type ExpectedOutput,
  ExpectedTimeScore,
  type OutputRequest,
  type WorkRates,
  workRatesAt,
} from "../cost/index.js";
import {
  cacheCapacityOf,
  type CachedTokens,
  cacheFillOf,
  sharedPartsOf,
} from "./cached_prompt.js";
import type { Choice } from "./choose_endpoint.js";
import type { DirectEffect } from "./direct_event.js";
import type { DirectEndpoint } from "./direct_endpoint.js";
import {
  type ActiveAttempt,
  type ActiveRequest,
  type AttemptForecast,
  type DirectState,
  prefillRateOf,
} from "./direct_state.js";
import { sumTokens } from "./prompt_cache_index.js";

/**
 * The prefill rate is estimated from attempts with at least this many tokens to
 * process; for shorter ones, other delays dominate.
 */
const MIN_MEASURED_PREFILL_TOKENS = 2000;

/** Pace of an endpoint of which nothing else is known. */
const USUAL_PACE = 1;

/** Smaller expected values count as this, in tokens or ms. */
const MIN_EXPECTED = 1;

/**
 * Returns the score by expected time; undefined if the settings do not ask for it,
 * if the service does not report its pace, or if nothing is known of the output of
 * such requests.
 */
export function expectedTimeScoreOf(
  state: DirectState,
  request: ActiveRequest,
  cachedTokens: CachedTokens,
  nowMs: Millis,
): ExpectedTimeScore | undefined {
  if (!reportsPace(state, request)) {
    return undefined;
  }
  const output = expectedOutputOf(state, request, nowMs);
  if (!output) {
    return undefined;
  }
  const { call, service } = request;
  return new ExpectedTimeScore({
    nowMs,
    costs: state.requestCosts.ofService(service),
    prefillTokensPerMs: prefillRateOf(state, service).tokensPerMs,
    promptTokens: call.promptTokens,
    sharedTokens: sumTokens(sharedPartsOf(request)),
    cost: attemptCostOf(request, output),
    capacityTokens: cacheCapacityOf(state, service),
    cachedTokens,
    cacheFill: (endpoint) => cacheFillOf(state, endpoint),
  });
}

/** What the score expects of the chosen endpoint; undefined without a score. */
export function forecastOf(
  choice: Choice,
  score: ExpectedTimeScore | undefined,
  cacheSource: DirectEndpoint | undefined,
): AttemptForecast | undefined {
  return score && {
    ...score.expect(choice.endpoint, choice.load),
    load: choice.load,
    outputTokens: score.cost.outputTokens,
    isCopied: cacheSource !== undefined,
  };
}

/** Adds the expected work of an attempt to its endpoint. */
export function startWork(
  state: DirectState,
  request: ActiveRequest,
  endpoint: DirectEndpoint,
  score: ExpectedTimeScore | undefined,
  nowMs: Millis,
): AttemptWork {
  return endpoint.work.start(
    nowMs,
    score?.cost ?? attemptCostOf(request, undefined),
    ratesOf(state, endpoint, nowMs),
  );
}

/**
 * Learns the prefill rate from the first event of an answer, and compares its time
 * with what was expected.
 */
export function recordPrefill(
  state: DirectState,
  { service }: ActiveRequest,
  { forecast, prefillTokens, startedMs }: ActiveAttempt,
  nowMs: Millis,
): DirectEffect[] {
  const tookMs = nowMs - startedMs;
  if (
    prefillTokens >= MIN_MEASURED_PREFILL_TOKENS && !forecast?.isCopied
  ) {
    const paceFactor = forecast?.paceFactor ?? USUAL_PACE;
    prefillRateOf(state, service).record(prefillTokens, tookMs / paceFactor);
  }
  return forecast
    ? [measureRatio(
      "direct_first_event_over_expected",
      tookMs,
      forecast.firstEventMs,
    )]
    : [];
}

/** Learns from a stream that was received to its end. */
export function recordStreamCost(
  state: DirectState,
  request: ActiveRequest,
  events: number,
  nowMs: Millis,
): DirectEffect[] {
  const { attempt, call, service } = request;
  const isWhole = call.lastEventId === undefined && events > 0;
  if (!attempt?.endpoint.isPaceReported || !isWhole) {
    return [];
  }
  const engine = state.configIndex?.service(service)?.engine;
  const outputTokens = events * (engine?.tokensPerEvent ?? 1);
  state.requestCosts.outputLengths.record(
    nowMs,
    outputRequestOf(request),
    outputTokens,
  );
  recordServiceCost(state, request, attempt, outputTokens, nowMs);
  return attempt.forecast
    ? [measureRatio(
      "direct_output_over_expected",
      outputTokens,
      attempt.forecast.outputTokens,
    )]
    : [];
}

/** Learns from a stream that a single endpoint has produced from beginning to end. */
function recordServiceCost(
  state: DirectState,
  { runs, service }: ActiveRequest,
  attempt: ActiveAttempt,
  outputTokens: number,
  nowMs: Millis,
): void {
  const { forecast, startedMs, work } = attempt;
  if (
    runs.length > 1 || work.firstEventMs === undefined ||
    !forecast || forecast.isCopied
  ) {
    return;
  }
  const firstEventMs = (work.firstEventMs - startedMs) / forecast.paceFactor;
  state.requestCosts.ofService(service).record(nowMs, {
    cost: work.cost,
    outputTokens,
    firstEventMs,
    decodeMs: nowMs - work.firstEventMs,
    load: forecast.load,
    delayMs: attempt.prefillTokens < MIN_MEASURED_PREFILL_TOKENS
      ? firstEventMs - forecast.prefillMs
      : undefined,
  });
}

function measureRatio(
  metric: "direct_output_over_expected" | "direct_first_event_over_expected",
  actual: number,
  expected: number,
): DirectEffect {
  const value = actual / Math.max(MIN_EXPECTED, expected);
  return { type: "measure", measurement: { metric, value, labels: {} } };
}

function reportsPace(
  { directory, options }: DirectState,
  { route, service }: ActiveRequest,
): boolean {
  return (options.placesByExpectedTime ?? false) &&
    route.callKind === "stream" &&
    directory.ofService(service).some((endpoint) =>
      endpoint.isReady && endpoint.isPaceReported
    );
}

function expectedOutputOf(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): ExpectedOutput | undefined {
  return state.requestCosts.outputLengths.expect(
    nowMs,
    outputRequestOf(request),
  );
}

function outputRequestOf(
  { account, call, route }: ActiveRequest,
): OutputRequest {
  return {
    route: route.name,
    account: account?.name,
    promptTokens: call.promptTokens,
    hintTokens: call.lengthHintTokens,
    maxTokens: call.outputTokens,
  };
}

function attemptCostOf(
  request: ActiveRequest,
  output: ExpectedOutput | undefined,
): AttemptCost {
  const { promptTokens } = request.call;
  const parts = sharedPartsOf(request);
  const sharedTokens = Math.min(promptTokens, sumTokens(parts));
  const ownTokens = promptTokens - sharedTokens;
  const key = parts.at(-1)?.id;
  return {
    prefillTokens: ownTokens,
    outputTokens: output?.medianTokens ?? 0,
    memoryTokens: ownTokens + (output?.tailTokens ?? 0),
    sharedMemory: key === undefined ? undefined : { key, tokens: sharedTokens },
  };
}

function ratesOf(
  state: DirectState,
  { pace, record }: DirectEndpoint,
  nowMs: Millis,
): WorkRates {
  const { tokensPerMs } = prefillRateOf(state, record.service);
  const { typicalTokenMs } = state.requestCosts.ofService(record.service);
  return workRatesAt(pace.factor(nowMs), tokensPerMs, typicalTokenMs);
}
