/** Size of the blocks of a pool. */
export const BLOCK_BYTES = 64 * 1024;

/**
 * Blocks for request bodies that are used again. The collector frees a dropped
 * buffer only after tens of megabytes of them, which would come on top of the bound
 * of the memory for callers.
 */
export class BlockPool {
  readonly #free: Buffer[] = [];
  readonly #maxFreeBytes: () => number;

  /** @param maxFreeBytes Returns the size of the blocks that may be kept unused. */
  constructor(maxFreeBytes: () => number) {
    this.#maxFreeBytes = maxFreeBytes;
  }

  /** Returns a block whose content is undefined. */
  take(): Buffer {
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Takes back a block that is no longer read or written. */
  giveBack(block: Buffer): void {
    this.#free.push(block);
    this.trim();
  }

  /** Drops unused blocks for which there is no room. */
  trim(): void {
    while (
      this.#free.length * BLOCK_BYTES > Math.max(0, this.#maxFreeBytes())
    ) {
      this.#free.pop();
    }
  }
}
