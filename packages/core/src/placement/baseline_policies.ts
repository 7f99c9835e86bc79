import {
  type Candidate,
  PlacementPolicy,
  type PlacementRequest,
  type RandomBelow,
  type ShortlistOptions,
} from "./placement_policy.js";

/** Baseline for benchmarks: places each request at a random endpoint. */
export class RandomPolicy extends PlacementPolicy {
  override get needsProbes(): boolean {
    return false;
  }

  override shortlist(
    rankedIds: readonly string[],
    { randomBelow }: ShortlistOptions,
  ): string[] {
    return rankedIds.length === 0
      ? []
      : [rankedIds[randomBelow(rankedIds.length)]];
  }

  override order(candidates: readonly Candidate[]): Candidate[] {
    return [...candidates];
  }
}

/** Baseline for benchmarks: prefers low load; breaks ties at random. */
export class LeastLoadedPolicy extends PlacementPolicy {
  override shortlist(rankedIds: readonly string[]): string[] {
    return [...rankedIds];
  }

  override order(
    candidates: readonly Candidate[],
    _request: PlacementRequest,
    randomBelow: RandomBelow,
  ): Candidate[] {
    const rotation = candidates.length === 0
      ? 0
      : randomBelow(candidates.length);
    const rotated = [
      ...candidates.slice(rotation),
      ...candidates.slice(0, rotation),
    ];
    return rotated.sort((a, b) => a.loadTokens - b.loadTokens);
  }
}

/**
 * Baseline for benchmarks: uses the first endpoint in the chat's rendezvous
 * order.
 */
export class ChatHashPolicy extends PlacementPolicy {
  override get needsProbes(): boolean {
    return false;
  }

  override shortlist(rankedIds: readonly string[]): string[] {
    return rankedIds.slice(0, 1);
  }

  override order(candidates: readonly Candidate[]): Candidate[] {
    return [...candidates];
  }
}

/**
 * Baseline for benchmarks: probes all endpoints; prefers the longest cached
 * prefix.
 */
export class OraclePolicy extends PlacementPolicy {
  override shortlist(rankedIds: readonly string[]): string[] {
    return [...rankedIds];
  }

  override order(candidates: readonly Candidate[]): Candidate[] {
    return [...candidates].sort((a, b) =>
      b.cachedTokens - a.cachedTokens || a.loadTokens - b.loadTokens ||
      a.rendezvousRank - b.rendezvousRank
    );
  }
}
