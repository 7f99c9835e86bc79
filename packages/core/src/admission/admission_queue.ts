import type { Millis } from "../clock.js";

/** The fields of a waiting request that an admission queue uses. */
export interface QueuedRequest {
  readonly attemptId: string;
  readonly account: string;
  /**
   * Weight of the account relative to others; the router sends it in the
   * request.
   */
  readonly weight: number;
  /** Larger is more urgent; 0 is the lowest priority. */
  readonly priority: number;
  /** Estimated work of the request in tokens. */
  readonly workTokens: number;
  /** Monotonic time by which the answer must be complete. */
  readonly deadlineMs?: Millis;
}

/**
 * Bounded queue of requests that wait for a free slot of the endpoint. The
 * constructor throws `RangeError` unless the size is a positive integer.
 *
 * Iteration yields the waiting requests in no particular order.
 */
export abstract class AdmissionQueue<T extends QueuedRequest = QueuedRequest> {
  readonly maxRequests: number;

  constructor(maxRequests: number) {
    if (!Number.isInteger(maxRequests) || maxRequests < 1) {
      throw new RangeError(
        `Queue size ${maxRequests} is not a positive integer`,
      );
    }
    this.maxRequests = maxRequests;
  }

  abstract get size(): number;

  /** Sum of the work of all waiting requests, in tokens. */
  abstract get workTokens(): number;

  /**
   * Adds a request. If the queue is full, drops one request, which may be the
   * added one, and returns it. Throws `RangeError` if the attempt is already
   * waiting.
   */
  abstract enqueue(request: T): T | undefined;

  /** Removes and returns the next request to serve; undefined when empty. */
  abstract dequeue(): T | undefined;

  /** Removes a cancelled request; returns undefined if it was not waiting. */
  abstract remove(attemptId: string): T | undefined;

  abstract has(attemptId: string): boolean;

  /**
   * Work, in tokens, that would be served before `request` if it were added now
   * and no other request arrived later.
   */
  abstract workAheadOf(request: QueuedRequest): number;

  abstract [Symbol.iterator](): Iterator<T>;
}
