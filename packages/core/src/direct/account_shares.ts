import type { Millis } from "../clock.js";

/** Time in which the weight of a request that was served halves. */
const HALF_LIFE_MS: Millis = 5000;

/** An account counts as waiting for this long after it was refused. */
const WAITING_MS: Millis = 1500;

/** Requests by which an account may be ahead of one that waits. */
const MAX_LEAD = 1;

/** Accounts that were served less than this, recently, are forgotten. */
const MIN_SERVED = 0.05;

interface AccountShare {
  served: number;
  updatedMs: Millis;
  refusedMs: Millis;
}

/**
 * Shares what a pool with limits takes between accounts. An account that got more
 * than another one leaves room for a request of that one, and lets it go first
 * if it was just refused.
 */
export class AccountShares {
  readonly #shares = new Map<string, AccountShare>();

  /**
   * Whether a request of the account may be served now.
   *
   * @param leavesRoom Whether there is room for a further request after it.
   */
  mayServe(nowMs: Millis, account: string, leavesRoom: boolean): boolean {
    const served = this.#served(nowMs, this.#shares.get(account));
    for (const [other, share] of this.#shares) {
      const sinceRefusalMs = nowMs - share.refusedMs;
      const otherServed = this.#served(nowMs, share);
      if (otherServed < MIN_SERVED && sinceRefusalMs >= WAITING_MS) {
        this.#shares.delete(other);
      }
      const isAhead = other !== account && otherServed + MAX_LEAD < served;
      if (isAhead && (!leavesRoom || sinceRefusalMs < WAITING_MS)) {
        return false;
      }
    }
    return true;
  }

  recordServed(nowMs: Millis, account: string): void {
    const share = this.#shareOf(account);
    share.served = this.#served(nowMs, share) + 1;
    share.updatedMs = nowMs;
    share.refusedMs = Number.NEGATIVE_INFINITY;
  }

  recordRefused(nowMs: Millis, account: string): void {
    this.#shareOf(account).refusedMs = nowMs;
  }

  #shareOf(account: string): AccountShare {
    const known = this.#shares.get(account);
    if (known) {
      return known;
    }
    const created = {
      served: 0,
      updatedMs: 0,
      refusedMs: Number.NEGATIVE_INFINITY,
    };
    this.#shares.set(account, created);
    return created;
  }

  #served(nowMs: Millis, share: AccountShare | undefined): number {
    return share
      ? share.served * 0.5 ** ((nowMs - share.updatedMs) / HALF_LIFE_MS)
      : 0;
  }
}
