import type { Millis } from "../clock.js";
import {
  type Candidate,
  PlacementPolicy,
  type PlacementRequest,
  type RankingKeys,
  type ShortlistOptions,
} from "./placement_policy.js";

/**
 * Cost advantage that an endpoint needs over the first one in rendezvous order.
 * Without the margin, routers whose load reports differ by one answer move
 * chats back and forth.
 */
export const HYSTERESIS_MS: Millis = 20;

/**
 * Factor on the prefill time in the cost. Prefill also delays the other
 * requests of the engine and evicts blocks that other chats would have reused.
 */
export const PREFILL_WEIGHT = 4;

/**
 * Cost of each token of load above the pool's mean. Without this cost, an
 * endpoint with a cached prompt gets every request until its queue is full.
 */
export const IMBALANCE_COST_MS_PER_TOKEN = 0.005;

/**
 * Weighs cache reuse against load in one cost: the estimated time to the first
 * token plus the delay for other requests.
 */
export class CacheAwarePolicy extends PlacementPolicy {
  override rankingKey(keys: RankingKeys): string {
    return keys.placementKey;
  }

  override shortlist(
    rankedIds: readonly string[],
    options: ShortlistOptions,
  ): string[] {
    const { count, lastEndpointId, failureDomainOf } = options;
    const first = rankedIds[0];
    if (first === undefined) {
      return [];
    }
    const chosen = new Set([first]);
    // If a failure domain is lost, an endpoint of another one has the cache.
    const domain = failureDomainOf(first);
    const other = rankedIds.find((id) => failureDomainOf(id) !== domain);
    if (other !== undefined) {
      chosen.add(other);
    }
    if (lastEndpointId !== undefined && rankedIds.includes(lastEndpointId)) {
      chosen.add(lastEndpointId);
    }
    for (const id of rankedIds) {
      if (chosen.size >= count) {
        break;
      }
      chosen.add(id);
    }
    return [...chosen].slice(0, count);
  }

  override order(
    candidates: readonly Candidate[],
    request: PlacementRequest,
  ): Candidate[] {
    return candidates
      .map((candidate) => ({
        candidate,
        costMs: estimateCostMs(candidate, request) +
          HYSTERESIS_MS * Math.min(candidate.rendezvousRank, 1),
      }))
      .sort((a, b) =>
        a.costMs - b.costMs ||
        a.candidate.rendezvousRank - b.candidate.rendezvousRank
      )
      .map(({ candidate }) => candidate);
  }
}

/** Estimated time to the first token plus the delay for other requests. */
export function estimateCostMs(
  candidate: Candidate,
  request: PlacementRequest,
): Millis {
  const uncachedTokens = Math.max(
    0,
    request.promptTokens - candidate.cachedTokens,
  );
  const prefillMs = uncachedTokens / candidate.prefillTokensPerS * 1000;
  const loadAfter = candidate.loadTokens + uncachedTokens +
    request.outputTokens;
  const excessTokens = Math.max(0, loadAfter - candidate.poolMeanTokens);
  return candidate.queueWaitMs + PREFILL_WEIGHT * prefillMs +
    candidate.penaltyMs +
    excessTokens * IMBALANCE_COST_MS_PER_TOKEN;
}
