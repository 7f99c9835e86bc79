import { BlockPool } from "./block_pool.js";
import { ReceiveBuffers } from "./receive_buffers.js";
import { chooseEviction, type HoldingState } from "./choose_eviction.js";

/** The account has room for at least this many of the largest bodies. */
const MIN_LARGEST_BODIES = 4;

/**
 * Part of the memory for callers that the account leaves for received bytes that were
 * copied or dropped, since the collector frees them only after tens of megabytes.
 */
const UNCOLLECTED_BYTES = 16 * 1024 * 1024;

/**
 * Returns the bound of an account.
 *
 * @param callerMemoryBytes Memory of the process for what callers send.
 */
export function accountBytes(
  callerMemoryBytes: number,
  maxBodyBytes: number,
): number {
  return Math.max(
    MIN_LARGEST_BODIES * maxBodyBytes,
    callerMemoryBytes - UNCOLLECTED_BYTES,
  );
}

/** A holding that was evicted. */
export interface CallerEviction {
  /** Address of the caller, without the port. */
  readonly address: string;
  /** Bytes that the evicted holding held. */
  readonly heldBytes: number;
  /** Bytes that the process held for all callers. */
  readonly totalBytes: number;
}

/** Bound of an account and what is called when it evicts. */
export interface CallerMemoryOptions {
  /** Maximum number of bytes held for all callers together. */
  readonly maxBytes: number;
  /** Called before the `evict` function of the holding. */
  readonly onEvict: (eviction: CallerEviction) => void;
}

/** Account of the bytes that a process holds for its callers. */
export class CallerMemory {
  #maxBytes: number;
  readonly #onEvict: (eviction: CallerEviction) => void;
  readonly #blocks = new BlockPool(() => this.#maxBytes - this.#heldBytes);
  readonly #receiveBuffers = new ReceiveBuffers();
  /** All open holdings, in no order. */
  readonly #holdings: CallerHolding[] = [];
  #heldBytes = 0;
  #receivedBytes = 0;

  constructor({ maxBytes, onEvict }: CallerMemoryOptions) {
    this.#maxBytes = maxBytes;
    this.#onEvict = onEvict;
  }

  /** Maximum number of bytes held for all callers together. */
  get maxBytes(): number {
    return this.#maxBytes;
  }

  /** Changes the bound; a lower one applies when a holding next grows. */
  setMaxBytes(maxBytes: number): void {
    this.#maxBytes = maxBytes;
  }

  /** Bytes held for all callers. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Number of open holdings. */
  get holdingCount(): number {
    return this.#holdings.length;
  }

  /**
   * Opens an account for a request or a connection.
   *
   * @param address Address of the caller, without the port.
   * @param evict Releases what is held and refuses the request or closes the
   *   connection. It is called at most once; the holding is closed then.
   */
  open(address: string, evict: () => void): CallerHolding {
    const index = this.#holdings.length;
    const holding = new CallerHolding(this, address, evict, index);
    this.#holdings.push(holding);
    return holding;
  }

  /** Blocks for bytes by which a holding has grown. */
  get blocks(): BlockPool {
    return this.#blocks;
  }

  /** Records that received bytes were copied or dropped, and are not held. */
  drop(bytes: number): void {
    this.#receiveBuffers.drop(bytes);
  }

  /** To be called by {@link CallerHolding.grow} only. */
  grow(holding: CallerHolding, bytes: number): boolean {
    this.#receivedBytes += bytes;
    holding.add(bytes, this.#receivedBytes);
    this.#heldBytes += bytes;
    while (this.#heldBytes > this.#maxBytes) {
      const evicted = chooseEviction(this.#holdings, this.#receivedBytes);
      if (!evicted) {
        holding.shrink(bytes);
        return false;
      }
      this.#evict(evicted);
      if (evicted === holding) {
        return false;
      }
    }
    this.#blocks.trim();
    return true;
  }

  /** To be called by {@link CallerHolding.shrink} only. */
  shrink(bytes: number): void {
    this.#heldBytes -= bytes;
  }

  /** To be called by {@link CallerHolding.close} only. */
  remove({ index }: CallerHolding): void {
    const last = this.#holdings.pop()!;
    if (index < this.#holdings.length) {
      this.#holdings[index] = last;
      last.index = index;
    }
  }

  #evict(holding: CallerHolding): void {
    const { address, heldBytes } = holding;
    const totalBytes = this.#heldBytes;
    holding.close();
    this.#onEvict({ address, heldBytes, totalBytes });
    holding.evict();
  }
}

/** Bytes held for one request or connection of a caller. */
export class CallerHolding implements HoldingState {
  readonly address: string;
  /** Position among the holdings of the account. */
  index: number;
  readonly #memory: CallerMemory;
  readonly #onEvict: () => void;
  #heldBytes = 0;
  #grownAtBytes = 0;
  #pinned = false;
  #closed = false;

  /** Holdings are created by {@link CallerMemory.open}. */
  constructor(
    memory: CallerMemory,
    address: string,
    onEvict: () => void,
    index: number,
  ) {
    this.#memory = memory;
    this.address = address;
    this.#onEvict = onEvict;
    this.index = index;
  }

  /** Blocks for bytes by which the holding has grown. */
  get blocks(): BlockPool {
    return this.#memory.blocks;
  }

  /** Bytes held now; 0 after {@link close}. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Total bytes that the process had received when this holding last grew. */
  get grownAtBytes(): number {
    return this.#grownAtBytes;
  }

  /** Whether the holding is excluded from eviction. */
  get pinned(): boolean {
    return this.#pinned;
  }

  /** Whether the holding was closed or evicted. */
  get closed(): boolean {
    return this.#closed;
  }

  /**
   * Adds bytes that are about to be held. Returns false if they do not fit, after
   * the holding that holds most and has made least progress was evicted, which
   * may be this one.
   */
  grow(bytes: number): boolean {
    return !this.#closed && this.#memory.grow(this, bytes);
  }

  /** Removes bytes that are no longer held. */
  shrink(bytes: number): void {
    if (!this.#closed) {
      this.#heldBytes -= bytes;
      this.#memory.shrink(bytes);
    }
  }

  /** Records that received bytes were copied or dropped, and are not held. */
  drop(bytes: number): void {
    this.#memory.drop(bytes);
  }

  /** Excludes the holding from eviction, since its request may run from now on. */
  pin(): void {
    this.#pinned = true;
  }

  /** Removes all bytes; the holding cannot grow any more. */
  close(): void {
    if (!this.#closed) {
      this.shrink(this.#heldBytes);
      this.#closed = true;
      this.#memory.remove(this);
    }
  }

  /** Records growth. To be called by {@link CallerMemory} only. */
  add(bytes: number, receivedBytes: number): void {
    this.#heldBytes += bytes;
    this.#grownAtBytes = receivedBytes;
  }

  /** Ends the request or connection. To be called by {@link CallerMemory} only. */
  evict(): void {
    this.#onEvict();
  }
}
