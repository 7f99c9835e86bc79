import type { Millis } from "../clock.js";

/** What a queue needs to know of a waiting request. */
export interface QueuedRequest {
  readonly attemptId: string;
  readonly account: string;
  /** Share of the account relative to others; travels with the request. */
  readonly weight: number;
  /** 0 is the lowest priority. */
  readonly priority: number;
  /** Estimated work of the request in tokens. */
  readonly workTokens: number;
  /** Monotonic time by which the answer must be complete. */
  readonly deadlineMs?: Millis;
}

/**
 * Bounded queue of the requests that wait for a free slot of the endpoint.
 *
 * Iteration yields the waiting requests in no particular order.
 */
export abstract class AdmissionQueue<T extends QueuedRequest = QueuedRequest> {
  readonly maxRequests: number;

  constructor(maxRequests: number) {
    if (!Number.isInteger(maxRequests) || maxRequests < 1) {
      throw new RangeError(`Queue size ${maxRequests} is not positive`);
    }
    this.maxRequests = maxRequests;
  }

  abstract get size(): number;

  /** Sum of the work of all waiting requests. */
  abstract get workTokens(): number;

  /**
   * Adds a request. When the queue is full, one request is dropped and
   * returned, which may be the added one.
   *
   * Throws `RangeError` when the attempt is already waiting.
   */
  abstract enqueue(request: T): T | undefined;

  /** Removes and returns the request that is served next. */
  abstract dequeue(): T | undefined;

  /** Removes a cancelled request and returns it if it was waiting. */
  abstract remove(attemptId: string): T | undefined;

  abstract has(attemptId: string): boolean;

  /**
   * Work that would be served before a request if it were added now and
   * nothing were added after it.
   */
  abstract workAheadOf(request: QueuedRequest): number;

  abstract [Symbol.iterator](): Iterator<T>;
}
