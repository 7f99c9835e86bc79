import type { Millis } from "../clock.js";
import type { DirectEndpoint } from "../direct/direct_endpoint.js";
import {
  type AttemptCost,
  type WorkRates,
  workRatesAt,
} from "./endpoint_work.js";
import { PlacementScore } from "./placement_score.js";
import type { PeerWork, ServiceCosts } from "./service_costs.js";

/**
 * Time for which a pace is expected to last. It changes about this often, so
 * later work is expected at the usual pace.
 */
const PACE_DURATION_MS: Millis = 600;

/**
 * Weight of the time that a request costs another one, against its own time to
 * the first event. Streams that run tolerate short pauses between events.
 */
const OTHERS_WEIGHT = 0.1;

/**
 * Weight of the time for shared tokens that are not cached, in addition to that
 * of the prefill itself. A second copy also displaces other prompts, which are
 * then processed again, so a move has to gain more than one prefill.
 */
const REPEATED_PREFILL_WEIGHT = 2;

/**
 * Smallest delay of a first event by each other request. Loads are known late,
 * which hides a part of their effect from the samples.
 */
const MIN_DELAY_PER_REQUEST_MS: Millis = 4;

/** Expected times that differ by less make no difference to callers. */
const EQUAL_TIME_MS: Millis = 10;

/**
 * Expected times within this fraction of the best are equal, since long times are
 * known less exactly. Routers with the same late state then spread new prompts.
 */
const EQUAL_TIME_FRACTION = 0.05;

/** What is known of a request and its pool when it is placed. */
export interface ExpectedTimeFacts {
  readonly nowMs: Millis;
  readonly costs: ServiceCosts;
  /** Prompt tokens that an engine processes in a ms at the usual pace. */
  readonly prefillTokensPerMs: number;
  readonly promptTokens: number;
  /** Number of tokens of the prompt that other requests may share. */
  readonly sharedTokens: number;
  readonly cost: AttemptCost;
  /** Size of the memory of an engine in tokens, if known. */
  readonly capacityTokens: number | undefined;
  /** Returns how many tokens of the prompt the endpoint has cached. */
  readonly cachedTokens: (endpoint: DirectEndpoint) => number;
  /** Returns how full the endpoint's cache is, from 0 to 1. */
  readonly cacheFill: (endpoint: DirectEndpoint) => number;
}

/** Expected time until the first event, by its parts. */
export interface ExpectedTime {
  /** Time to the first event at the pace of the endpoint. */
  readonly firstEventMs: Millis;
  /** Time at the usual pace for the prompt tokens before the first event. */
  readonly prefillMs: Millis;
  readonly paceFactor: number;
}

/**
 * Expected time to the first event, plus the weighted time that the request costs
 * those that are already there. Cached tokens count as the prefill that they save,
 * so a chat leaves its endpoint only if that gains more than its prompt costs
 * elsewhere.
 *
 * For pools of uneven pace and requests whose prompts and outputs differ widely.
 */
export class ExpectedTimeScore extends PlacementScore {
  readonly #facts: ExpectedTimeFacts;
  readonly #peerWork: PeerWork;
  readonly #idleDelayMs: Millis;
  readonly #delayMsPerRequest: Millis;
  readonly #tokenMs: Millis;
  readonly #tokenMsPerRequest: Millis;

  constructor(facts: ExpectedTimeFacts) {
    super();
    const { costs } = facts;
    this.#facts = facts;
    this.#peerWork = costs.peerWork;
    this.#idleDelayMs = costs.delayMs(0);
    this.#delayMsPerRequest = Math.max(
      MIN_DELAY_PER_REQUEST_MS,
      costs.delayMsPerRequest,
    );
    this.#tokenMs = costs.typicalTokenMs;
    this.#tokenMsPerRequest = costs.tokenMsPerRequest;
  }

  /** What the request is expected to demand of its endpoint. */
  get cost(): AttemptCost {
    return this.#facts.cost;
  }

  override valueOf(endpoint: DirectEndpoint, load: number): number {
    const { firstEventMs, paceFactor } = this.expect(endpoint, load);
    const costToOthersMs = OTHERS_WEIGHT * paceFactor *
      (load * this.#ownPrefillMs(endpoint) +
        this.#sharedDecodeMs(endpoint, load, paceFactor));
    return -(firstEventMs + costToOthersMs + this.#copyCostMs(endpoint));
  }

  override toleranceAt(best: number): number {
    return Math.max(EQUAL_TIME_MS, -best * EQUAL_TIME_FRACTION);
  }

  override hasRoom(endpoint: DirectEndpoint, load: number): boolean {
    const { capacityTokens, cost } = this.#facts;
    if (capacityTokens === undefined) {
      return true;
    }
    const needed = endpoint.work.memoryTokens +
      endpoint.work.addedMemoryTokens(cost) +
      othersOf(endpoint, load) * this.#peerWork.memoryTokens;
    return needed <= capacityTokens;
  }

  /**
   * Returns the expected time to the first event at the endpoint.
   *
   * @param load Known number of requests running or waiting there.
   */
  expect(endpoint: DirectEndpoint, load: number): ExpectedTime {
    const { nowMs, prefillTokensPerMs } = this.#facts;
    const paceFactor = endpoint.pace.factor(nowMs);
    const rates = this.#ratesAt(paceFactor);
    const backlogTokens = endpoint.work.prefillTokensLeft(nowMs, rates) +
      endpoint.prefillBacklog.remaining(nowMs, rates.prefillTokensPerMs) +
      othersOf(endpoint, load) * this.#peerWork.prefillTokens;
    const prefillMs = backlogTokens / prefillTokensPerMs +
      this.#ownPrefillMs(endpoint);
    const usualMs = prefillMs + this.#idleDelayMs +
      load * this.#delayMsPerRequest +
      this.#slotWaitMs(endpoint, load, rates);
    return { firstEventMs: timeAt(usualMs, paceFactor), prefillMs, paceFactor };
  }

  /** Expected speed of an endpoint of the service at a pace. */
  #ratesAt(paceFactor: number): WorkRates {
    const { prefillTokensPerMs } = this.#facts;
    return workRatesAt(paceFactor, prefillTokensPerMs, this.#tokenMs);
  }

  #ownPrefillMs(endpoint: DirectEndpoint): Millis {
    const { cachedTokens, prefillTokensPerMs, promptTokens } = this.#facts;
    return Math.max(0, promptTokens - cachedTokens(endpoint)) /
      prefillTokensPerMs;
  }

  /** Time by which this request and those there lengthen each other's streams. */
  #sharedDecodeMs(
    endpoint: DirectEndpoint,
    load: number,
    paceFactor: number,
  ): Millis {
    const { cost } = this.#facts;
    const left = this.#outputTokensLeft(endpoint, load, paceFactor);
    const overlapping = Math.min(load * cost.outputTokens, left);
    return 2 * overlapping * this.#tokenMsPerRequest;
  }

  #outputTokensLeft(
    endpoint: DirectEndpoint,
    load: number,
    paceFactor: number,
  ): number {
    const rates = this.#ratesAt(paceFactor);
    return endpoint.work.outputTokensLeft(this.#facts.nowMs, rates) +
      othersOf(endpoint, load) * this.#peerWork.outputTokens;
  }

  /** Time until one of the slots is free. */
  #slotWaitMs(
    endpoint: DirectEndpoint,
    load: number,
    rates: WorkRates,
  ): Millis {
    const { slots } = endpoint.record;
    if (slots === undefined || load < slots) {
      return 0;
    }
    const tokensPerSlot = this.#peerWork.outputTokens / slots;
    return (load - slots + 1) * tokensPerSlot / rates.outputTokensPerMs;
  }

  /** Cost of keeping the shared part of the prompt in one more place. */
  #copyCostMs(endpoint: DirectEndpoint): Millis {
    const { cacheFill, cachedTokens, prefillTokensPerMs, sharedTokens } =
      this.#facts;
    const added = sharedTokens - cachedTokens(endpoint);
    const weight = REPEATED_PREFILL_WEIGHT + cacheFill(endpoint);
    return Math.max(0, added) * weight / prefillTokensPerMs;
  }
}

/** Number of requests that other routers have at the endpoint. */
function othersOf(endpoint: DirectEndpoint, load: number): number {
  return Math.max(0, load - endpoint.localInFlight);
}

/** Time for work at a pace that lasts for {@link PACE_DURATION_MS}. */
function timeAt(usualMs: Millis, paceFactor: number): Millis {
  return paceFactor <= 1 ? usualMs * paceFactor : Math.min(
    usualMs * paceFactor,
    usualMs + PACE_DURATION_MS * (1 - 1 / paceFactor),
  );
}
