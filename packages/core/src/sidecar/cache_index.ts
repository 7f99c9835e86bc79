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
  readonly #blocks: LRUCache<bigint, true>;

  constructor(capacityTokens: number) {
    const max = Math.max(1, Math.floor(capacityTokens / BLOCK_TOKENS));
    this.#blocks = new LRUCache({ max });
  }

  /** Index of the last hash of the longest cached prefix, or -1. */
  longestPrefix(hashes: readonly bigint[]): number {
    for (let i = hashes.length - 1; i >= 0; i--) {
      if (this.#blocks.has(hashes[i])) {
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
      this.#blocks.set(hashes[i], true);
    }
  }

  /**
   * Applies cache events of the engine. A stored block that is in the index
   * already keeps its position in the order of eviction.
   */
  applyEvents(stored: readonly bigint[], evicted: readonly bigint[]): void {
    for (const hash of evicted) {
      this.#blocks.delete(hash);
    }
    for (const hash of stored) {
      if (!this.#blocks.has(hash)) {
        this.#blocks.set(hash, true);
      }
    }
  }
}
