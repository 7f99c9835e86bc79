import { FairQueue, type QueuedRequest } from "../admission/index.js";
import type { Millis } from "../clock.js";
import { type GroupShare, ServiceCredits } from "./service_credits.js";

/** A request that waits for its placement. */
export interface WaitingRequest {
  readonly key: number;
  /** Name of the route. */
  readonly kind: string;
  /** Name of the client account; empty if the caller has none. */
  readonly account: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedMs: Millis;
  /** Latest placement with which the first response usually meets its objective. */
  readonly dueMs: Millis;
  /** Latest placement with which it usually meets the deadline. */
  readonly lastDueMs: Millis;
  readonly deadlineMs: Millis;
}

interface Entry extends QueuedRequest {
  readonly waiting: WaitingRequest;
  readonly dueMs: Millis;
  /** Until then the entry keeps its place in the order. */
  readonly validUntilMs: Millis;
}

/**
 * The memory for what callers send bounds the number of waiting requests: it
 * includes their bodies until they are answered.
 */
const UNBOUNDED = Number.MAX_SAFE_INTEGER;

/** Number of priorities; 0 is the most urgent, lower ones count as the last. */
const PRIORITIES = 10;

/**
 * A request counts as due soon from this fraction of its spare time on. The usual
 * time of its route is a mean that half of the answers exceed.
 */
const SPARE_FRACTION = 0.5;

/**
 * Requests that wait for their placement, in the order in which they are placed:
 * those that are due soon before others, then by priority, then by the fair share
 * of the account, then by the time at which they are due. One that has missed its
 * objective is due at its deadline, so that those that can still be in time go
 * first. Routes and accounts that would starve by that order precede it.
 */
export class WaitingQueue {
  readonly #queue = new FairQueue<Entry>(UNBOUNDED);
  readonly #entries = new Map<string, Entry>();
  readonly #kinds = new ServiceCredits();
  readonly #accounts = new ServiceCredits();
  /** When the first entry loses its place in the order. */
  #validUntilMs: Millis = Number.POSITIVE_INFINITY;

  get size(): number {
    return this.#queue.size;
  }

  /** The account that sent most of the requests that had to wait of late. */
  get largestAccount(): GroupShare | undefined {
    return this.#accounts.largest;
  }

  /** @param soonMs Requests that are due within this time come first. */
  add(waiting: WaitingRequest, soonMs: Millis, nowMs: Millis): void {
    this.#enqueue(toEntry(waiting, soonMs, nowMs));
    this.#kinds.add(waiting.kind);
    this.#accounts.add(waiting.account);
  }

  /** Removes a request that is not to be placed; returns false if none waits. */
  remove(key: number): boolean {
    const entry = this.#delete(String(key));
    if (!entry) {
      return false;
    }
    this.#kinds.remove(entry.waiting.kind);
    this.#accounts.remove(entry.account);
    return true;
  }

  /** Removes and returns the request that is placed next. */
  next(soonMs: Millis, nowMs: Millis): WaitingRequest | undefined {
    this.#reorder(soonMs, nowMs);
    const entry = this.#takeStarved() ?? this.#queue.dequeue();
    if (!entry) {
      return undefined;
    }
    this.#entries.delete(entry.attemptId);
    this.#kinds.recordServed(entry.waiting.kind);
    this.#accounts.recordServed(entry.account);
    return entry.waiting;
  }

  /** Number of requests that would be placed before this one. */
  countAheadOf(waiting: WaitingRequest, soonMs: Millis, nowMs: Millis): number {
    return this.#queue.workAheadOf(toEntry(waiting, soonMs, nowMs));
  }

  #enqueue(entry: Entry): void {
    this.#queue.enqueue(entry);
    this.#entries.set(entry.attemptId, entry);
    this.#validUntilMs = Math.min(this.#validUntilMs, entry.validUntilMs);
  }

  #delete(attemptId: string): Entry | undefined {
    this.#entries.delete(attemptId);
    return this.#queue.remove(attemptId);
  }

  /** Moves requests that became due soon, or late, while they waited. */
  #reorder(soonMs: Millis, nowMs: Millis): void {
    if (nowMs < this.#validUntilMs) {
      return;
    }
    this.#validUntilMs = Number.POSITIVE_INFINITY;
    for (const entry of [...this.#entries.values()]) {
      if (nowMs < entry.validUntilMs) {
        this.#validUntilMs = Math.min(this.#validUntilMs, entry.validUntilMs);
      } else {
        this.#delete(entry.attemptId);
        this.#enqueue(toEntry(entry.waiting, soonMs, nowMs));
      }
    }
  }

  /** Takes the request of a starved route or account that is due first. */
  #takeStarved(): Entry | undefined {
    const kind = this.#kinds.starved;
    const account = kind === undefined ? this.#accounts.starved : undefined;
    if (kind === undefined && account === undefined) {
      return undefined;
    }
    let first: Entry | undefined;
    for (const entry of this.#entries.values()) {
      const isStarved = entry.waiting.kind === kind ||
        entry.account === account;
      if (isStarved && (!first || entry.dueMs < first.dueMs)) {
        first = entry;
      }
    }
    return first && this.#delete(first.attemptId);
  }
}

/** Returns an entry with the place in the order that the request has now. */
function toEntry(
  waiting: WaitingRequest,
  soonMs: Millis,
  nowMs: Millis,
): Entry {
  const { arrivedMs, key, priority } = waiting;
  const isLate = nowMs >= waiting.dueMs;
  const dueMs = isLate ? waiting.lastDueMs : waiting.dueMs;
  const soonAtMs = dueMs -
    (isLate ? soonMs : Math.max(soonMs, (dueMs - arrivedMs) * SPARE_FRACTION));
  const isSoon = nowMs >= soonAtMs;
  return {
    waiting,
    attemptId: String(key),
    account: waiting.account,
    weight: 1,
    workTokens: 1,
    // The larger number is the more urgent one here.
    priority: (isSoon ? PRIORITIES : 0) - Math.min(priority, PRIORITIES - 1),
    dueMs,
    deadlineMs: dueMs,
    validUntilMs: !isSoon ? soonAtMs : isLate ? Infinity : dueMs,
  };
}
