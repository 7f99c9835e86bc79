/** Limits of one side of a {@link RetryBudget}. */
export interface RetryBudgetLimits {
  /** Balance at the start, which allows the first retries after a restart. */
  readonly initialRetries: number;
  /** Largest balance, which limits a burst of retries after a calm time. */
  readonly maxRetries: number;
}

export interface RetryBudgetOptions {
  /** Retries allowed for each request. */
  readonly ratio: number;
  readonly account: RetryBudgetLimits;
  readonly router: RetryBudgetLimits;
}

const DEFAULT_OPTIONS: RetryBudgetOptions = {
  ratio: 0.1,
  account: { initialRetries: 1, maxRetries: 10 },
  router: { initialRetries: 10, maxRetries: 100 },
};

/**
 * Limits retries to a share of the requests of an account and of the router.
 *
 * The balances are filled by requests and not by time, so a router without
 * traffic earns no retries. The number of accounts is bounded by the
 * configuration; {@link RetryBudget.forget} removes one that left it.
 */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #accounts = new Map<string, number>();
  #router: number;

  constructor(options: Partial<RetryBudgetOptions> = {}) {
    this.#options = { ...DEFAULT_OPTIONS, ...options };
    this.#router = this.#options.router.initialRetries;
  }

  /** Notes a request of a caller; retries are not noted. */
  noteRequest(account: string): void {
    const { account: accountLimits, ratio, router } = this.#options;
    const balance = this.#balance(account);
    this.#accounts.set(
      account,
      Math.min(accountLimits.maxRetries, balance + ratio),
    );
    this.#router = Math.min(router.maxRetries, this.#router + ratio);
  }

  /** Takes a retry from both balances if each of them allows it. */
  tryRetry(account: string): boolean {
    const balance = this.#balance(account);
    if (balance < 1 || this.#router < 1) {
      return false;
    }
    this.#accounts.set(account, balance - 1);
    this.#router -= 1;
    return true;
  }

  forget(account: string): void {
    this.#accounts.delete(account);
  }

  #balance(account: string): number {
    return this.#accounts.get(account) ?? this.#options.account.initialRetries;
  }
}
