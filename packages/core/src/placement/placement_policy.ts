import type { Millis } from "../clock.js";

/** What a router knows about an endpoint when it places a request. */
export interface Candidate {
  readonly endpointId: string;
  readonly failureDomain: string;
  /**
   * Position in the request's rendezvous order of endpoints; 0 is the first.
   */
  readonly rendezvousRank: number;
  /** Number of tokens of the request's prompt that the endpoint has cached. */
  readonly cachedTokens: number;
  readonly loadTokens: number;
  /** Estimated wait of a new request in the endpoint's queue. */
  readonly queueWaitMs: Millis;
  /** Mean load of the endpoint's pool. */
  readonly poolMeanTokens: number;
  readonly prefillTokensPerS: number;
  /**
   * Added cost while the endpoint is suspected or in slow start; otherwise 0.
   */
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
  /**
   * Selects the endpoints to probe from all usable ones in rendezvous order.
   */
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

  /**
   * Selects the key whose hash determines the rendezvous order of endpoints.
   */
  rankingKey(keys: RankingKeys): string {
    return keys.chatId;
  }

  /**
   * Whether endpoints must be probed before candidates can be ordered.
   */
  get needsProbes(): boolean {
    return true;
  }
}

/** Keys of a request from which a policy selects one for rendezvous hashing. */
export interface RankingKeys {
  readonly chatId: string;
  /**
   * Requests with the same key prefer the same endpoints; see `CallerRequest`.
   */
  readonly affinityKey: string;
}

export interface ShortlistOptions {
  /** Maximum number of endpoints to probe; some baselines ignore this limit. */
  readonly maxProbes: number;
  /** Endpoint that last answered this chat, if this router knows it. */
  readonly lastEndpointId?: string;
  readonly failureDomainOf: (endpointId: string) => string;
  readonly randomBelow: RandomBelow;
}
