import type { CacheEventKind } from "./prefix_cache.js";
import { nextRandom32 } from "./random32.js";

/** A cache event as the engine's API returns it; `hash` is 16 hex digits. */
export interface CacheEvent {
  readonly seq: number;
  readonly kind: CacheEventKind;
  readonly hash: string;
  readonly tokens: number;
}

export interface CacheEventFeedOptions {
  /** Time until an event becomes visible to readers. */
  readonly delayMs: number;
  /** Fraction of events that are never delivered, between 0 and 1. */
  readonly lossFraction: number;
  readonly seed: number;
}

/**
 * Number of the newest events that are kept when older ones are dropped, as a
 * real engine does.
 */
const MAX_EVENTS = 10_000;

/** Largest number of events in one answer; keeps the answer well below 1 MB. */
const MAX_EVENTS_PER_READ = 2_000;

/**
 * Delivers cache events after a delay; each lost event leaves a gap in `seq`.
 */
export class CacheEventFeed {
  readonly #options: CacheEventFeedOptions;
  #events: { readonly atMs: number; readonly event: CacheEvent }[] = [];
  #nextSeq = 1;
  #randomState: number;

  constructor(options: CacheEventFeedOptions) {
    this.#options = options;
    this.#randomState = options.seed >>> 0;
  }

  add(event: Omit<CacheEvent, "seq">, nowMs: number): void {
    const seq = this.#nextSeq;
    this.#nextSeq += 1;
    if (this.#random() < this.#options.lossFraction) {
      return;
    }
    this.#events.push({ atMs: nowMs, event: { seq, ...event } });
    if (this.#events.length > 2 * MAX_EVENTS) {
      this.#events = this.#events.slice(-MAX_EVENTS);
    }
  }

  /**
   * Returns the visible events with a higher `seq` than `after`, oldest first,
   * at most {@link MAX_EVENTS_PER_READ}.
   */
  read(after: number, nowMs: number): CacheEvent[] {
    const visibleUntilMs = nowMs - this.#options.delayMs;
    return this.#events
      .filter(({ atMs, event }) => event.seq > after && atMs <= visibleUntilMs)
      .slice(0, MAX_EVENTS_PER_READ)
      .map(({ event }) => event);
  }

  /** Returns a pseudo-random number, uniformly distributed in [0, 1). */
  #random(): number {
    this.#randomState = nextRandom32(this.#randomState);
    return this.#randomState / 2 ** 32;
  }
}
