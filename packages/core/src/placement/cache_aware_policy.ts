import type { Millis } from "../clock.js";
import {
  type Candidate,
  PlacementPolicy,
  type PlacementRequest,
  type RankingKeys,
  type ShortlistOptions,
} from "./placement_policy.js";

/**
 * An endpoint is preferred to the first one in rendezvous order only if its
 * cost is lower by this margin. Without the margin, chats would move back and
 * forth whenever the load reports of two routers differ by a single answer.
 */
export const HYSTERESIS_MS: Millis = 20;

/**
 * Weight of the prefill time in the cost. Prefill also delays the other
 * requests of the engine and evicts blocks that other chats would have reused.
 */
export const PREFILL_WEIGHT = 4;

/**
 * Cost of each token by which the load exceeds the pool's mean. Without this
 * cost, an endpoint with a cached prompt would get every request for that
 * prompt until its queue is full.
 */
export const IMBALANCE_COST_MS_PER_TOKEN = 0.005;

/**
 * Weighs cache reuse against load: orders endpoints by the estimated time to
 * the first token plus the delay that the request causes for others.
 */
export class CacheAwarePolicy extends PlacementPolicy {
  override rankingKey(keys: RankingKeys): string {
    return keys.affinityKey;
  }

  override shortlist(
    rankedIds: readonly string[],
    options: ShortlistOptions,
  ): string[] {
    const { maxProbes, lastEndpointId, failureDomainOf } = options;
    const first = rankedIds[0];
    if (first === undefined) {
      return [];
    }
    const chosen = new Set([first]);
    // Includes an endpoint of a second failure domain, so that the prompt is
    // cached in both domains and remains available if one of them is lost.
    const domain = failureDomainOf(first);
    const other = rankedIds.find((id) => failureDomainOf(id) !== domain);
    if (other !== undefined) {
      chosen.add(other);
    }
    if (lastEndpointId !== undefined && rankedIds.includes(lastEndpointId)) {
      chosen.add(lastEndpointId);
    }
    for (const id of rankedIds) {
      if (chosen.size >= maxProbes) {
        break;
      }
      chosen.add(id);
    }
    return [...chosen].slice(0, maxProbes);
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

/**
 * Cost of placing the request at the candidate: the estimated time to the first
 * token plus the delay that the request causes for others.
 */
export function estimateCostMs(
  candidate: Candidate,
  request: PlacementRequest,
): Millis {
  const uncachedTokens = Math.max(
    0,
    request.promptTokens - candidate.cachedTokens,
  );
  const prefillMs = uncachedTokens / candidate.prefillTokensPerS * 1000;
  const loadAfterTokens = candidate.loadTokens + uncachedTokens +
    request.outputTokens;
  const excessTokens = Math.max(0, loadAfterTokens - candidate.poolMeanTokens);
  return candidate.queueWaitMs + PREFILL_WEIGHT * prefillMs +
    candidate.penaltyMs +
    excessTokens * IMBALANCE_COST_MS_PER_TOKEN;
}
