/** Token bucket that limits the rate of requests. */
export class RequestRateLimit {
  readonly #burst: number;
  #requestsPerS: number;
  #available: number;
  #updatedMs: number;

  constructor(requestsPerS: number, burst: number, nowMs: number) {
    this.#requestsPerS = requestsPerS;
    this.#burst = burst;
    this.#available = burst;
    this.#updatedMs = nowMs;
  }

  set requestsPerS(requestsPerS: number) {
    this.#requestsPerS = requestsPerS;
  }

  /**
   * Consumes one token and returns 0, or, if the bucket has no complete token,
   * returns the seconds until it has one.
   */
  consume(nowMs: number): number {
    const refilled = (nowMs - this.#updatedMs) * this.#requestsPerS / 1000;
    this.#available = Math.min(this.#burst, this.#available + refilled);
    this.#updatedMs = nowMs;
    if (this.#available < 1) {
      return (1 - this.#available) / this.#requestsPerS;
    }
    this.#available -= 1;
    return 0;
  }
}
