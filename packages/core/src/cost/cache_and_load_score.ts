import type { DirectEndpoint } from "../direct/direct_endpoint.js";
import { PlacementScore } from "./placement_score.js";

/** Number of prompt tokens that weigh as much as one request in flight. */
const TOKENS_PER_REQUEST = 100;

/**
 * Weight of a cached token against a token that waits to be processed. Above 1,
 * because a part that is processed a second time also takes time and memory
 * from the requests that run there.
 */
const CACHED_TOKEN_WEIGHT = 2;

/**
 * Waiting tokens are rounded down to a multiple of this number. Routers whose
 * estimates differ slightly then make the same choice.
 */
const BACKLOG_ROUNDING_STEP = 2000;

/**
 * Loads are rounded down to a multiple of this number of requests. Routers
 * whose load reports differ slightly then make the same choice.
 */
const LOAD_ROUNDING_STEP = 2;

/** The fill of caches is rounded down to a multiple of this fraction. */
const FILL_ROUNDING_STEP = 0.125;

/** What the score reads of a request and of the endpoints for it. */
export interface CacheAndLoadFacts {
  /**
   * Returns how many tokens of the request's prompt the endpoint has cached.
   */
  readonly cachedTokens: (endpoint: DirectEndpoint) => number;
  /**
   * Returns how many prompt tokens of earlier requests the endpoint has yet to
   * process.
   */
  readonly backlogTokens: (endpoint: DirectEndpoint) => number;
  /** Returns how full the endpoint's cache is, from 0 to 1. */
  readonly cacheFill: (endpoint: DirectEndpoint) => number;
  /** Number of tokens of the request's prompt that other requests may share. */
  readonly sharedTokens: number;
}

/**
 * Cached tokens, less waiting tokens, less the tokens that the request may
 * displace from the cache, less the weighted load. Waiting tokens keep prompts
 * that have only a short first part in common from all going to the endpoint that
 * has it.
 */
export class CacheAndLoadScore extends PlacementScore {
  readonly #facts: CacheAndLoadFacts;

  constructor(facts: CacheAndLoadFacts) {
    super();
    this.#facts = facts;
  }

  override valueOf(endpoint: DirectEndpoint, load: number): number {
    const facts = this.#facts;
    const cached = facts.cachedTokens(endpoint);
    return CACHED_TOKEN_WEIGHT * cached -
      roundDown(facts.backlogTokens(endpoint), BACKLOG_ROUNDING_STEP) -
      roundDown(facts.cacheFill(endpoint), FILL_ROUNDING_STEP) *
        (facts.sharedTokens - cached) -
      roundDown(load, LOAD_ROUNDING_STEP) * TOKENS_PER_REQUEST;
  }

  override toleranceAt(): number {
    return 0;
  }

  override hasRoom(): boolean {
    return true;
  }
}

function roundDown(value: number, step: number): number {
  return Math.floor(value / step) * step;
}
