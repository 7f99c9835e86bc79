import { AdmissionQueue, type QueuedRequest } from "./admission_queue.js";

/**
 * Baseline for benchmarks: serves requests in order of arrival and drops new
 * requests when full.
 */
export class FifoQueue<T extends QueuedRequest = QueuedRequest>
  extends AdmissionQueue<T> {
  readonly #requests = new Map<string, T>();
  #workTokens = 0;

  get size(): number {
    return this.#requests.size;
  }

  get workTokens(): number {
    return this.#workTokens;
  }

  enqueue(request: T): T | undefined {
    if (this.#requests.has(request.attemptId)) {
      throw new RangeError(`Attempt ${request.attemptId} is already waiting`);
    }
    if (this.#requests.size >= this.maxRequests) {
      return request;
    }
    this.#requests.set(request.attemptId, request);
    this.#workTokens += request.workTokens;
    return undefined;
  }

  dequeue(): T | undefined {
    for (const attemptId of this.#requests.keys()) {
      return this.remove(attemptId);
    }
    return undefined;
  }

  remove(attemptId: string): T | undefined {
    const request = this.#requests.get(attemptId);
    if (request === undefined) {
      return undefined;
    }
    this.#requests.delete(attemptId);
    this.#workTokens = this.#requests.size === 0
      ? 0
      : this.#workTokens - request.workTokens;
    return request;
  }

  has(attemptId: string): boolean {
    return this.#requests.has(attemptId);
  }

  workAheadOf(_request: QueuedRequest): number {
    return this.#workTokens;
  }

  [Symbol.iterator](): Iterator<T> {
    return this.#requests.values();
  }
}
