import type { QueuedRequest } from "./admission_queue.js";

/** A waiting request with the values that order it in a {@link FairLevel}. */
export interface FairEntry<T extends QueuedRequest = QueuedRequest> {
  readonly request: T;
  /** Number of requests added to the queue before this one; breaks ties. */
  readonly arrival: number;
  /** Work, in tokens, that counts against the fair share of the account. */
  readonly chargedTokens: number;
  /**
   * Amount by which serving the request advances the start tag of its account:
   * `chargedTokens` divided by the account's weight.
   */
  readonly charge: number;
}

interface AccountState<T extends QueuedRequest> {
  /** Waiting requests in the order of service. */
  readonly entries: FairEntry<T>[];
  /** Virtual time at which the next request of the account starts service. */
  startTag: number;
}

/**
 * Idle accounts are evicted only if the level has at least this many accounts.
 */
const MIN_EVICTION_THRESHOLD = 64;

/**
 * Waiting requests of one priority, served by start-time fair queueing over
 * their accounts: the account with the smallest start tag is served next.
 *
 * Tags are positions in virtual time, which advances with the work served. The
 * start tag of an account is the virtual time at which it began to wait, or the
 * finish tag of its last served request if that is later. Only served requests
 * advance the tags, so a request that is removed before service costs its
 * account nothing.
 */
export class FairLevel<T extends QueuedRequest> {
  readonly priority: number;
  readonly #accounts = new Map<string, AccountState<T>>();
  #size = 0;
  #workTokens = 0;
  /** Start tag of the request that was served last. */
  #virtualTime = 0;
  /**
   * Number of accounts at which idle accounts are evicted before another
   * account is added.
   */
  #evictionThreshold = MIN_EVICTION_THRESHOLD;

  constructor(priority: number) {
    this.priority = priority;
  }

  get size(): number {
    return this.#size;
  }

  get workTokens(): number {
    return this.#workTokens;
  }

  add(entry: FairEntry<T>): void {
    const { account, workTokens } = entry.request;
    let state = this.#accounts.get(account);
    if (state === undefined) {
      this.#evictIdleAccounts();
      state = { entries: [], startTag: 0 };
      this.#accounts.set(account, state);
    }
    if (state.entries.length === 0) {
      state.startTag = Math.max(state.startTag, this.#virtualTime);
    }
    state.entries.splice(positionOf(state.entries, entry), 0, entry);
    this.#size++;
    this.#workTokens += workTokens;
  }

  dequeue(): FairEntry<T> | undefined {
    let next: AccountState<T> | undefined;
    for (const state of this.#accounts.values()) {
      if (state.entries.length > 0 && (!next || isBefore(state, next))) {
        next = state;
      }
    }
    const entry = next?.entries.shift();
    if (next === undefined || entry === undefined) {
      return undefined;
    }
    this.#virtualTime = next.startTag;
    next.startTag += entry.charge;
    this.#subtractFromTotals(entry);
    return entry;
  }

  remove(entry: FairEntry<T>): void {
    const entries = this.#accounts.get(entry.request.account)?.entries ?? [];
    const index = entries.indexOf(entry);
    if (index >= 0) {
      entries.splice(index, 1);
      this.#subtractFromTotals(entry);
    }
  }

  /** The waiting request of an account that would be served last. */
  lastOf(account: string): FairEntry<T> | undefined {
    return this.#accounts.get(account)?.entries.at(-1);
  }

  /**
   * Work of this level, in tokens, that would be served before `entry` if it
   * were added now.
   */
  workAheadOf(entry: FairEntry): number {
    const { account } = entry.request;
    const accountState = this.#accounts.get(account);
    const aheadInAccount =
      accountState?.entries.slice(0, positionOf(accountState.entries, entry)) ??
        [];
    let tag = accountState?.startTag ?? 0;
    if (!accountState || accountState.entries.length === 0) {
      tag = Math.max(tag, this.#virtualTime);
    }
    let tokens = 0;
    for (const ahead of aheadInAccount) {
      tag += ahead.charge;
      tokens += ahead.request.workTokens;
    }
    for (const [name, state] of this.#accounts) {
      if (name !== account) {
        tokens += workBefore(state, tag, entry);
      }
    }
    return tokens;
  }

  #subtractFromTotals(entry: FairEntry<T>): void {
    this.#size--;
    this.#workTokens = this.#size === 0
      ? 0
      : this.#workTokens - entry.request.workTokens;
  }

  /**
   * Removes idle accounts whose start tag is at or before the virtual time.
   * Their removal does not change the order of service. Runs when the number of
   * accounts has doubled since the last eviction.
   */
  #evictIdleAccounts(): void {
    if (this.#accounts.size < this.#evictionThreshold) {
      return;
    }
    for (const [name, state] of this.#accounts) {
      if (state.entries.length === 0 && state.startTag <= this.#virtualTime) {
        this.#accounts.delete(name);
      }
    }
    this.#evictionThreshold = Math.max(
      MIN_EVICTION_THRESHOLD,
      2 * this.#accounts.size,
    );
  }
}

/**
 * Work of an account, in tokens, that is served before `entry` if `tag` is the
 * start tag of `entry`.
 */
function workBefore<T extends QueuedRequest>(
  state: AccountState<T>,
  tag: number,
  entry: FairEntry,
): number {
  let tokens = 0;
  let otherTag = state.startTag;
  for (const other of state.entries) {
    const isServedFirst = otherTag < tag ||
      (otherTag === tag && compareByDeadline(other, entry) < 0);
    if (!isServedFirst) {
      break;
    }
    tokens += other.request.workTokens;
    otherTag += other.charge;
  }
  return tokens;
}

function isBefore<T extends QueuedRequest>(
  a: AccountState<T>,
  b: AccountState<T>,
): boolean {
  return a.startTag < b.startTag ||
    (a.startTag === b.startTag &&
      compareByDeadline(a.entries[0], b.entries[0]) < 0);
}

/** Orders by deadline, then by arrival; entries without deadline come last. */
function compareByDeadline(a: FairEntry, b: FairEntry): number {
  const deadlineA = a.request.deadlineMs ?? Infinity;
  const deadlineB = b.request.deadlineMs ?? Infinity;
  if (deadlineA !== deadlineB) {
    return deadlineA < deadlineB ? -1 : 1;
  }
  return a.arrival - b.arrival;
}

/**
 * Index at which `entry` belongs in entries sorted by {@link
 * compareByDeadline}.
 */
function positionOf(entries: readonly FairEntry[], entry: FairEntry): number {
  let low = 0;
  let high = entries.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (compareByDeadline(entries[middle], entry) < 0) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
