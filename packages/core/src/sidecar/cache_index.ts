import { LRUCache } from "lru-cache";
import { BLOCK_TOKENS } from "../placement/index.js";

/**
 * Estimate of the contents of the engine's prefix cache.
 *
 * It models a cache of the configured size that evicts the least recently used
 * block. Cache events of the engine correct the model, but arrive late and with
 * gaps, so they cannot replace it.
 */
export class CacheIndex {
  readonly #blockHashes: LRUCache<bigint, true>;

  constructor(capacityTokens: number) {
    const maxBlocks = Math.max(1, Math.floor(capacityTokens / BLOCK_TOKENS));
    this.#blockHashes = new LRUCache({ max: maxBlocks });
  }

  /**
   * Index of the last hash of the longest cached prefix, or -1 if none is
   * cached.
   */
  longestPrefix(hashes: readonly bigint[]): number {
    for (let i = hashes.length - 1; i >= 0; i--) {
      if (this.#blockHashes.has(hashes[i])) {
        return i;
      }
    }
    return -1;
  }

  /** Marks the blocks of a prompt as the most recently used ones. */
  touch(hashes: readonly bigint[]): void {
    // The last blocks of a prompt are shared by the fewest prompts. They are
    // touched first, so that they are evicted first.
    for (let i = hashes.length - 1; i >= 0; i--) {
      this.#blockHashes.set(hashes[i], true);
    }
  }

  /**
   * Applies cache events of the engine. A stored block that is already in the
   * index keeps its position in the eviction order.
   */
  applyEvents(
    storedHashes: readonly bigint[],
    evictedHashes: readonly bigint[],
  ): void {
    for (const hash of evictedHashes) {
      this.#blockHashes.delete(hash);
    }
    for (const hash of storedHashes) {
      if (!this.#blockHashes.has(hash)) {
        this.#blockHashes.set(hash, true);
      }
    }
  }
}
