import type { Millis } from "../clock.js";

/** What a router knows about an endpoint when it places a request. */
export interface Candidate {
  readonly endpointId: string;
  readonly failureDomain: string;
  /** Position in the rendezvous order of the request's chat. */
  readonly rendezvousRank: number;
  /** Prompt tokens that the endpoint has cached. */
  readonly cachedTokens: number;
  readonly loadTokens: number;
  /** Estimated wait of a new request in the endpoint's queue. */
  readonly queueWaitMs: Millis;
  /** Mean load of the endpoint's pool. */
  readonly poolMeanTokens: number;
  readonly prefillTokensPerS: number;
  /** Added cost of a suspected endpoint or one in slow start. */
  readonly penaltyMs: Millis;
}

/** The fields of a request that placement uses. */
export interface PlacementRequest {
  readonly chatId: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Uniform random integer in `[0, limit)` from the reducer's generator. */
export type RandomBelow = (limit: number) => number;

/** Decides which endpoints to probe and in which order to try them. */
export abstract class PlacementPolicy {
  /** Endpoints to probe, given all usable ones in rendezvous order. */
  abstract shortlist(
    rankedIds: readonly string[],
    options: ShortlistOptions,
  ): string[];

  /** Sorts candidates, best first. */
  abstract order(
    candidates: readonly Candidate[],
    request: PlacementRequest,
    randomBelow: RandomBelow,
  ): Candidate[];

  /** Requests with the same key get the same rendezvous order of endpoints. */
  rankingKey(keys: RankingKeys): string {
    return keys.chatId;
  }

  /** Whether the decision needs answers of the candidates to probes. */
  get needsProbes(): boolean {
    return true;
  }
}

/** Keys by which endpoints can be ranked for a request. */
export interface RankingKeys {
  readonly chatId: string;
  /** Derived from the prompt's prefix that chats about the same page share. */
  readonly placementKey: string;
}

export interface ShortlistOptions {
  /** Most endpoints to probe; some baselines ignore it. */
  readonly count: number;
  /** Endpoint that served this chat before, if this router knows one. */
  readonly lastEndpointId?: string;
  readonly failureDomainOf: (endpointId: string) => string;
  readonly randomBelow: RandomBelow;
}
