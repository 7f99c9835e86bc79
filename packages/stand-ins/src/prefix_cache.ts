import { BLOCK_TOKENS } from "@anvildeal/core";

export type CacheEventKind = "stored" | "evicted";

type CacheListener = (kind: CacheEventKind, hash: bigint) => void;

/** An engine's prefix cache; evicts the least recently used blocks. */
export class PrefixCache {
  /** Hashes of the cached blocks, the least recently used one first. */
  readonly #blocks = new Set<bigint>();
  readonly #capacityBlocks: number;
  readonly #listener: CacheListener;

  constructor(capacityTokens: number, listener: CacheListener = () => {}) {
    this.#capacityBlocks = Math.floor(capacityTokens / BLOCK_TOKENS);
    this.#listener = listener;
  }

  get capacityTokens(): number {
    return this.#capacityBlocks * BLOCK_TOKENS;
  }

  get tokens(): number {
    return this.#blocks.size * BLOCK_TOKENS;
  }

  get hashes(): bigint[] {
    return [...this.#blocks];
  }

  /**
   * Returns how many of the leading blocks are cached; does not mark them as
   * used.
   */
  cachedBlocks(hashes: readonly bigint[]): number {
    const missing = hashes.findIndex((hash) => !this.#blocks.has(hash));
    return missing === -1 ? hashes.length : missing;
  }

  /**
   * Stores a prefix and marks its blocks as used. The first block becomes the
   * most recently used one, because a block is useless without the blocks
   * before it.
   */
  store(hashes: readonly bigint[]): void {
    const kept = hashes.slice(0, this.#capacityBlocks);
    for (const hash of kept.toReversed()) {
      const wasCached = this.#blocks.delete(hash);
      this.#blocks.add(hash);
      if (!wasCached) {
        this.#listener("stored", hash);
      }
    }
    this.#evict();
  }

  #evict(): void {
    for (const hash of this.#blocks) {
      if (this.#blocks.size <= this.#capacityBlocks) {
        return;
      }
      this.#blocks.delete(hash);
      this.#listener("evicted", hash);
    }
  }
}
