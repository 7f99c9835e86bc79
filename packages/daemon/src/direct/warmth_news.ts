import type { Clock, Message, Millis, PromptCacheEntry } from "@anvildeal/core";
import type { Disposable } from "../net/index.js";

/** Delay for which news are collected. */
const COLLECT_MS: Millis = 10;

/** How long news are kept for routers that could not be reached. */
const KEEP_MS: Millis = 30_000;

const MAX_KEPT_ENTRIES = 4000;

/**
 * News that a router was told may have been lost if its connection closes
 * within this time: a silent path is found out only after a while.
 */
const DOUBTFUL_MS: Millis = 3000;

export interface WarmthNewsOptions {
  readonly clock: Clock;
  readonly broadcast: (message: Message) => void;
  readonly sendTo: (nodeId: string, message: Message) => void;
}

interface KeptEntry {
  readonly atMs: Millis;
  readonly entry: PromptCacheEntry;
}

/** Tells other routers what endpoints hold since this one used them. */
export class WarmthNews implements Disposable {
  readonly #options: WarmthNewsOptions;
  readonly #lostMs = new Map<string, Millis>();
  #collected: PromptCacheEntry[] = [];
  #kept: KeptEntry[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(options: WarmthNewsOptions) {
    this.#options = options;
  }

  /** Tells an entry to all connected routers, together with other news. */
  tell(entry: PromptCacheEntry): void {
    this.#collected.push(entry);
    this.#kept.push({ atMs: this.#options.clock.nowMs(), entry });
    this.#timer ??= setTimeout(() => this.#send(), COLLECT_MS);
  }

  /** Notes that a router can no longer be told. */
  noteLost(nodeId: string): void {
    this.#dropOld();
    this.#lostMs.set(nodeId, this.#options.clock.nowMs() - DOUBTFUL_MS);
  }

  /** Tells a router that came back what it has missed. */
  noteRegained(nodeId: string): void {
    const lostMs = this.#lostMs.get(nodeId);
    this.#lostMs.delete(nodeId);
    if (lostMs === undefined) {
      return;
    }
    this.#dropOld();
    const entries = this.#kept.filter(({ atMs }) => atMs >= lostMs)
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
    const entries = this.#collected;
    this.#collected = [];
    this.#dropOld();
    this.#options.broadcast({ type: "fleet_warmth", entries });
  }

  #dropOld(): void {
    const sinceMs = this.#options.clock.nowMs() - KEEP_MS;
    this.#kept = this.#kept.slice(-MAX_KEPT_ENTRIES)
      .filter(({ atMs }) => atMs >= sinceMs);
    for (const [nodeId, lostMs] of this.#lostMs) {
      if (lostMs < sinceMs) {
        this.#lostMs.delete(nodeId);
      }
    }
  }
}
