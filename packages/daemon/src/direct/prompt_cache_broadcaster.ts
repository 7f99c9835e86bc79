import type { Clock, Message, Millis, PromptCacheEntry } from "@anvildeal/core";
import type { Disposable } from "../net/index.js";

/** Delay for which updates are collected into one message. */
const BATCH_DELAY_MS: Millis = 10;

/** How long updates are retained for routers that were disconnected. */
const RETENTION_MS: Millis = 30_000;

const MAX_RETAINED_ENTRIES = 4000;

/**
 * If the connection to a router closes within this time after an update was
 * sent on it, the update counts as possibly lost, because a stalled connection
 * is detected late.
 */
const UNCONFIRMED_MS: Millis = 3000;

export interface PromptCacheBroadcasterOptions {
  readonly clock: Clock;
  readonly broadcast: (message: Message) => void;
  readonly sendTo: (nodeId: string, message: Message) => void;
}

interface RetainedEntry {
  readonly enqueuedMs: Millis;
  readonly entry: PromptCacheEntry;
}

/**
 * Sends the other routers the prompt cache updates that result from this
 * router's requests. Sends missed updates again to routers that reconnect.
 */
export class PromptCacheBroadcaster implements Disposable {
  readonly #options: PromptCacheBroadcasterOptions;
  readonly #missedSinceMs = new Map<string, Millis>();
  #pending: PromptCacheEntry[] = [];
  #retained: RetainedEntry[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(options: PromptCacheBroadcasterOptions) {
    this.#options = options;
  }

  /** Queues an update for all connected routers, which get it in a batch. */
  enqueue(entry: PromptCacheEntry): void {
    this.#pending.push(entry);
    this.#retained.push({ enqueuedMs: this.#options.clock.nowMs(), entry });
    this.#timer ??= setTimeout(() => this.#send(), BATCH_DELAY_MS);
  }

  /**
   * Records the time from which the disconnected router may have missed updates.
   * It lies before the disconnect, since the last messages sent may not have
   * arrived.
   */
  handleDisconnect(nodeId: string): void {
    this.#removeExpired();
    this.#missedSinceMs.set(
      nodeId,
      this.#options.clock.nowMs() - UNCONFIRMED_MS,
    );
  }

  /** Sends a router that reconnected the updates that it may have missed. */
  handleReconnect(nodeId: string): void {
    const missedSinceMs = this.#missedSinceMs.get(nodeId);
    this.#missedSinceMs.delete(nodeId);
    if (missedSinceMs === undefined) {
      return;
    }
    this.#removeExpired();
    const entries = this.#retained.filter(({ enqueuedMs }) =>
      enqueuedMs >= missedSinceMs
    )
      .map(({ entry }) => entry);
    if (entries.length > 0) {
      this.#options.sendTo(nodeId, { type: "fleet_warmth", entries });
    }
  }

  dispose(): void {
    clearTimeout(this.#timer);
  }

  #send(): void {
    this.#timer = undefined;
    const entries = this.#pending;
    this.#pending = [];
    this.#removeExpired();
    this.#options.broadcast({ type: "fleet_warmth", entries });
  }

  #removeExpired(): void {
    const sinceMs = this.#options.clock.nowMs() - RETENTION_MS;
    this.#retained = this.#retained.slice(-MAX_RETAINED_ENTRIES)
      .filter(({ enqueuedMs }) => enqueuedMs >= sinceMs);
    for (const [nodeId, missedSinceMs] of this.#missedSinceMs) {
      if (missedSinceMs < sinceMs) {
        this.#missedSinceMs.delete(nodeId);
      }
    }
  }
}
