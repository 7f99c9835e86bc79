/** Limits of a balance of a {@link RetryBudget}, in retries. */
export interface RetryBudgetLimits {
  /** Initial balance, so that retries are possible right after a restart. */
  readonly initialRetries: number;
  /**
   * Maximum balance; limits a burst of retries after a time without retries.
   */
  readonly maxRetries: number;
}

export interface RetryBudgetOptions {
  /** Number of requests that allow one retry. */
  readonly requestsPerRetry: number;
  readonly accountLimits: RetryBudgetLimits;
  readonly routerLimits: RetryBudgetLimits;
}

const DEFAULT_OPTIONS: RetryBudgetOptions = {
  requestsPerRetry: 10,
  accountLimits: { initialRetries: 1, maxRetries: 10 },
  routerLimits: { initialRetries: 10, maxRetries: 100 },
};

/**
 * Limits retries to a fraction of the requests, by account and for the whole
 * router.
 *
 * Balances grow with requests, not with time, so a router without traffic gets
 * no retries. Balances are counted in requests, which avoids rounding errors.
 * The configuration bounds the number of accounts, so the balances need no
 * eviction; {@link RetryBudget.removeAccount} deletes the balance of one
 * account.
 */
export class RetryBudget {
  readonly #requestsPerRetry: number;
  readonly #accountLimits: RetryBudgetLimits;
  readonly #routerLimits: RetryBudgetLimits;
  readonly #accountBalances = new Map<string, number>();
  #routerBalance: number;

  constructor(options: Partial<RetryBudgetOptions> = {}) {
    const { accountLimits, requestsPerRetry, routerLimits } = {
      ...DEFAULT_OPTIONS,
      ...options,
    };
    this.#requestsPerRetry = requestsPerRetry;
    this.#accountLimits = accountLimits;
    this.#routerLimits = routerLimits;
    this.#routerBalance = routerLimits.initialRetries * this.#requestsPerRetry;
  }

  /** Records the first attempt of a request; retries must not be recorded. */
  recordRequest(account: string): void {
    this.#accountBalances.set(
      account,
      Math.min(
        this.#accountLimits.maxRetries * this.#requestsPerRetry,
        this.#balanceOf(account) + 1,
      ),
    );
    this.#routerBalance = Math.min(
      this.#routerLimits.maxRetries * this.#requestsPerRetry,
      this.#routerBalance + 1,
    );
  }

  /**
   * Deducts a retry from the balances of the account and of the router and
   * returns true if both allow the retry; otherwise deducts nothing.
   */
  tryConsumeRetry(account: string): boolean {
    const balance = this.#balanceOf(account);
    if (
      balance < this.#requestsPerRetry ||
      this.#routerBalance < this.#requestsPerRetry
    ) {
      return false;
    }
    this.#accountBalances.set(account, balance - this.#requestsPerRetry);
    this.#routerBalance -= this.#requestsPerRetry;
    return true;
  }

  removeAccount(account: string): void {
    this.#accountBalances.delete(account);
  }

  #balanceOf(account: string): number {
    return this.#accountBalances.get(account) ??
      this.#accountLimits.initialRetries * this.#requestsPerRetry;
  }
}
