import type { Millis } from "../clock.js";

/**
 * Part of the retry budget of a service that one router may use in a window.
 */
export interface RetryWindowBudget {
  /** Number of retries allowed per request in the window. */
  readonly retriesPerRequest: number;
  /**
   * Number of further retries allowed in the window, whatever the number of
   * requests.
   */
  readonly fixedRetries: number;
}

/** Number of buckets of a window; counts expire one bucket at a time. */
const BUCKET_COUNT = 10;

/**
 * Limits the retries of one service over a sliding window.
 *
 * The budget of a service is shared by all routers without coordination: each
 * router may retry a fraction of its own requests and gets an equal share of
 * the fixed number of retries. The sum then stays within the budget.
 */
export class RetryWindow {
  readonly #bucketMs: Millis;
  readonly #requests = Array.from({ length: BUCKET_COUNT }, () => 0);
  readonly #retries = Array.from({ length: BUCKET_COUNT }, () => 0);
  /**
   * Number of the newest bucket, counted from time 0. Its array index is this
   * number modulo `BUCKET_COUNT`.
   */
  #currentBucket = 0;

  constructor(windowMs: Millis) {
    this.#bucketMs = windowMs / BUCKET_COUNT;
  }

  recordRequest(nowMs: Millis): void {
    this.#advance(nowMs);
    this.#requests[this.#currentBucket % BUCKET_COUNT]!++;
  }

  /** Whether the budget allows one more retry now. */
  allowsRetry(
    nowMs: Millis,
    { retriesPerRequest, fixedRetries }: RetryWindowBudget,
  ): boolean {
    return this.remainingRetries(nowMs, { retriesPerRequest, fixedRetries }) >=
      1;
  }

  /** Number of retries that the budget allows now; may be a fraction. */
  remainingRetries(
    nowMs: Millis,
    { retriesPerRequest, fixedRetries }: RetryWindowBudget,
  ): number {
    this.#advance(nowMs);
    return retriesPerRequest * sum(this.#requests) + fixedRetries -
      sum(this.#retries);
  }

  /**
   * Counts a retry and returns true if the budget allows it; else false.
   */
  tryConsumeRetry(nowMs: Millis, budget: RetryWindowBudget): boolean {
    if (!this.allowsRetry(nowMs, budget)) {
      return false;
    }
    this.#retries[this.#currentBucket % BUCKET_COUNT]!++;
    return true;
  }

  #advance(nowMs: Millis): void {
    const bucket = Math.floor(nowMs / this.#bucketMs);
    const steps = Math.min(BUCKET_COUNT, bucket - this.#currentBucket);
    for (let i = 1; i <= steps; i++) {
      const index = (this.#currentBucket + i) % BUCKET_COUNT;
      this.#requests[index] = 0;
      this.#retries[index] = 0;
    }
    this.#currentBucket = Math.max(this.#currentBucket, bucket);
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
