/** Limits of one side of a {@link RetryBudget}. */
export interface RetryBudgetLimits {
  /** Balance at the start, for the first retries after a restart. */
  readonly initialRetries: number;
  /** Largest balance, which limits the burst of retries after a calm time. */
  readonly maxRetries: number;
}

export interface RetryBudgetOptions {
  /** Number of requests per allowed retry. */
  readonly requestsPerRetry: number;
  readonly account: RetryBudgetLimits;
  readonly router: RetryBudgetLimits;
}

const DEFAULT_OPTIONS: RetryBudgetOptions = {
  requestsPerRetry: 10,
  account: { initialRetries: 1, maxRetries: 10 },
  router: { initialRetries: 10, maxRetries: 100 },
};

/**
 * Limits retries to a share of the requests of an account and of the router.
 *
 * Balances grow with requests, not with time, so a router without traffic gets
 * no retries. The unit of a balance is a request, which avoids rounding errors.
 * The configuration bounds the number of accounts;
 * {@link RetryBudget.removeAccount} removes one that is no longer in it.
 */
export class RetryBudget {
  readonly #requestsPerRetry: number;
  readonly #account: RetryBudgetLimits;
  readonly #router: RetryBudgetLimits;
  readonly #accountBalances = new Map<string, number>();
  #routerBalance: number;

  constructor(options: Partial<RetryBudgetOptions> = {}) {
    const { account, requestsPerRetry, router } = {
      ...DEFAULT_OPTIONS,
      ...options,
    };
    this.#requestsPerRetry = requestsPerRetry;
    this.#account = account;
    this.#router = router;
    this.#routerBalance = router.initialRetries * this.#requestsPerRetry;
  }

  /** Records a request of a caller; retries must not be recorded. */
  recordRequest(account: string): void {
    this.#accountBalances.set(
      account,
      Math.min(
        this.#account.maxRetries * this.#requestsPerRetry,
        this.#balanceOf(account) + 1,
      ),
    );
    this.#routerBalance = Math.min(
      this.#router.maxRetries * this.#requestsPerRetry,
      this.#routerBalance + 1,
    );
  }

  /** Deducts a retry from both balances and returns true if both allow it. */
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
      this.#account.initialRetries * this.#requestsPerRetry;
  }
}
