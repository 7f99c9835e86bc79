import {
  type Candidate,
  PlacementPolicy,
  type PlacementRequest,
  type RandomBelow,
  type ShortlistOptions,
} from "./placement_policy.js";

/** Baseline: a uniformly random endpoint. */
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

/** Baseline: the endpoint with the least outstanding work; ties are random. */
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

/** Baseline: the first endpoint in the rendezvous order of the chat. */
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

/** Baseline: probes all endpoints; chooses the one that has cached most. */
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
