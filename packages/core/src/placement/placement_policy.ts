import type { Millis } from "../clock.js";

/** What a router knows of an endpoint when it places a request. */
export interface Candidate {
  readonly endpointId: string;
  readonly failureDomain: string;
  /** Position in the rendezvous order of the request's chat. */
  readonly rank: number;
  /** Prompt tokens that the endpoint holds in its cache. */
  readonly cachedTokens: number;
  readonly loadTokens: number;
  readonly queueWaitMs: Millis;
  readonly poolMeanTokens: number;
  readonly prefillTokensPerS: number;
  /** Added cost of suspicion and slow start. */
  readonly penaltyMs: Millis;
}

/** The part of a request that placement looks at. */
export interface PlacementRequest {
  readonly chatId: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Uniform random integer in `[0, limit)` from the reducer's generator. */
export type RandomBelow = (limit: number) => number;

/** Decides which endpoints to ask and in which order to try them. */
export abstract class PlacementPolicy {
  /**
   * Endpoints to probe, given all usable ones in rendezvous order.
   *
   * `lastEndpointId` served this chat before, if this router knows.
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

  /** Requests with the same key get the same stable order of endpoints. */
  rankingKey(keys: RankingKeys): string {
    return keys.chatId;
  }

  /** Whether the decision needs facts of the candidates at all. */
  get needsProbes(): boolean {
    return true;
  }
}

/** What the stable order of endpoints can depend on. */
export interface RankingKeys {
  readonly chatId: string;
  /** Start of the prompt, shared by chats about the same page. */
  readonly placementKey: string;
}

export interface ShortlistOptions {
  readonly count: number;
  readonly lastEndpointId?: string;
  readonly failureDomainOf: (endpointId: string) => string;
  readonly randomBelow: RandomBelow;
}
