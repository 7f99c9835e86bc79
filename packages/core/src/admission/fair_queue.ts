import { AdmissionQueue, type QueuedRequest } from "./admission_queue.js";
import { type FairEntry, FairLevel } from "./fair_level.js";

interface AccountBacklog {
  /** Sum of the `chargedTokens` of the account's waiting requests. */
  chargedTokens: number;
  weight: number;
  requests: number;
}

/**
 * Minimum work that is charged for a request. A request without tokens, such as
 * a call to a plain service, must still move its account back in the order.
 */
const MIN_CHARGED_TOKENS = 1;

/**
 * Serves requests by priority, then by start-time fair queueing over accounts,
 * then by deadline.
 *
 * Fair queueing selects the account and the deadline selects among the requests
 * of that account, so a request with a near deadline overtakes only requests of
 * the same account.
 *
 * Fairness: take the work served per unit of weight for two accounts that both
 * have requests waiting during a whole interval. The two values differ by at
 * most `a + b`, where `a` and `b` are the largest `workTokens / weight` of a
 * request of each account.
 *
 * When the queue is full, a request is dropped from the account with the most
 * waiting work in proportion to its weight. The dropped request is the one that
 * would be served last among the account's requests of the lowest priority. If
 * several accounts tie for the most work and the new request's account is one of
 * them, that account loses a request. Accounts with equal backlogs therefore do
 * not displace each other's requests.
 */
export class FairQueue<T extends QueuedRequest = QueuedRequest>
  extends AdmissionQueue<T> {
  readonly #entries = new Map<string, FairEntry<T>>();
  readonly #levels = new Map<number, FairLevel<T>>();
  readonly #backlogs = new Map<string, AccountBacklog>();
  #nextArrival = 0;
  #workTokens = 0;

  get size(): number {
    return this.#entries.size;
  }

  get workTokens(): number {
    return this.#workTokens;
  }

  enqueue(request: T): T | undefined {
    if (this.#entries.has(request.attemptId)) {
      throw new RangeError(`Attempt ${request.attemptId} is already waiting`);
    }
    this.#add(this.#toEntry(request));
    if (this.#entries.size <= this.maxRequests) {
      return undefined;
    }
    const victim = this.#selectVictim(request.account);
    this.#delete(victim);
    return victim.request;
  }

  dequeue(): T | undefined {
    let highest: FairLevel<T> | undefined;
    for (const level of this.#levels.values()) {
      if (
        level.size > 0 &&
        (highest === undefined || level.priority > highest.priority)
      ) {
        highest = level;
      }
    }
    const entry = highest?.dequeue();
    if (entry === undefined) {
      return undefined;
    }
    this.#subtractFromTotals(entry);
    return entry.request;
  }

  remove(attemptId: string): T | undefined {
    const entry = this.#entries.get(attemptId);
    if (entry === undefined) {
      return undefined;
    }
    this.#delete(entry);
    return entry.request;
  }

  has(attemptId: string): boolean {
    return this.#entries.has(attemptId);
  }

  workAheadOf(request: QueuedRequest): number {
    let tokens = 0;
    for (const level of this.#levels.values()) {
      if (level.priority > request.priority) {
        tokens += level.workTokens;
      } else if (level.priority === request.priority) {
        tokens += level.workAheadOf(this.#toEntry(request));
      }
    }
    return tokens;
  }

  *[Symbol.iterator](): Iterator<T> {
    for (const entry of this.#entries.values()) {
      yield entry.request;
    }
  }

  #toEntry<R extends QueuedRequest>(request: R): FairEntry<R> {
    const chargedTokens = Math.max(request.workTokens, MIN_CHARGED_TOKENS);
    return {
      request,
      arrival: this.#nextArrival,
      chargedTokens,
      charge: chargedTokens / request.weight,
    };
  }

  #add(entry: FairEntry<T>): void {
    const { account, attemptId, priority, weight, workTokens } = entry.request;
    this.#nextArrival++;
    this.#entries.set(attemptId, entry);
    this.#workTokens += workTokens;
    let level = this.#levels.get(priority);
    if (level === undefined) {
      level = new FairLevel(priority);
      this.#levels.set(priority, level);
    }
    level.add(entry);
    const backlog = this.#backlogs.get(account) ??
      { chargedTokens: 0, weight, requests: 0 };
    backlog.chargedTokens += entry.chargedTokens;
    backlog.weight = weight;
    backlog.requests++;
    this.#backlogs.set(account, backlog);
  }

  #delete(entry: FairEntry<T>): void {
    this.#levels.get(entry.request.priority)?.remove(entry);
    this.#subtractFromTotals(entry);
  }

  /** Updates the totals after an entry was removed from its level. */
  #subtractFromTotals(entry: FairEntry<T>): void {
    const { account, attemptId, workTokens } = entry.request;
    this.#entries.delete(attemptId);
    this.#workTokens = this.#entries.size === 0
      ? 0
      : this.#workTokens - workTokens;
    const backlog = this.#backlogs.get(account);
    if (backlog === undefined || backlog.requests === 1) {
      this.#backlogs.delete(account);
      return;
    }
    backlog.requests--;
    backlog.chargedTokens -= entry.chargedTokens;
  }

  #selectVictim(newAccount: string): FairEntry<T> {
    let account = newAccount;
    let largest = this.#normalizedBacklog(newAccount);
    for (const other of this.#backlogs.keys()) {
      const backlog = this.#normalizedBacklog(other);
      if (backlog > largest) {
        account = other;
        largest = backlog;
      }
    }
    let lowest: FairEntry<T> | undefined;
    let lowestPriority = Infinity;
    for (const level of this.#levels.values()) {
      const last = level.lastOf(account);
      if (last !== undefined && level.priority < lowestPriority) {
        lowest = last;
        lowestPriority = level.priority;
      }
    }
    if (lowest === undefined) {
      throw new Error(`Account ${account} has a backlog but no request`);
    }
    return lowest;
  }

  /** Waiting work of an account divided by the account's weight. */
  #normalizedBacklog(account: string): number {
    const backlog = this.#backlogs.get(account);
    return backlog === undefined ? 0 : backlog.chargedTokens / backlog.weight;
  }
}
