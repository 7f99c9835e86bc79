/** Limits of a {@link RetryBalance}. */
export interface RetryBalanceLimits {
  /** Retries that each request adds to the balance. */
  readonly retriesPerRequest: number;
  /** Maximum balance in retries; at least 1, else no retry is ever possible. */
  readonly maxRetries: number;
}

/** Tolerance for rounding errors of the additions, in retries. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Limits the retries of one service at one router.
 *
 * Requests add to the balance and retries are taken from it. The budget of the
 * fleet holds over every window without coordination: the retries are at most
 * the stored balances, the share of the requests of the window, and the initial
 * balances of the processes that started in it. A limit that counts past
 * retries would grant them again after a restart.
 */
export class RetryBalance {
  #retries: number;

  /**
   * @param initialRetries Balance of a new process, which is all that a restart
   *   adds to the retries of the fleet.
   */
  constructor(initialRetries: number) {
    this.#retries = initialRetries;
  }

  recordRequest(limits: RetryBalanceLimits): void {
    this.#retries = Math.min(
      limits.maxRetries,
      this.#retries + limits.retriesPerRequest,
    );
  }

  /** Retries that are possible now; may be a fraction. */
  remaining({ maxRetries }: RetryBalanceLimits): number {
    return Math.min(maxRetries, this.#retries);
  }

  /** Whether one more retry is possible now. */
  allowsRetry(limits: RetryBalanceLimits): boolean {
    return this.remaining(limits) + ROUNDING_TOLERANCE >= 1;
  }

  /** Takes a retry from the balance and returns true if one is possible. */
  tryConsumeRetry(limits: RetryBalanceLimits): boolean {
    if (!this.allowsRetry(limits)) {
      return false;
    }
    this.#retries = this.remaining(limits) - 1;
    return true;
  }
}
