/** Token bucket that limits the rate of requests. */
export class RequestRateLimit {
  readonly #burst: number;
  #perS: number;
  #available: number;
  #updatedMs: number;

  constructor(perS: number, burst: number, nowMs: number) {
    this.#perS = perS;
    this.#burst = burst;
    this.#available = burst;
    this.#updatedMs = nowMs;
  }

  set perS(perS: number) {
    this.#perS = perS;
  }

  /**
   * Consumes one token and returns 0. Returns the seconds to wait for a token
   * instead if the bucket is empty.
   */
  consume(nowMs: number): number {
    const refilled = (nowMs - this.#updatedMs) * this.#perS / 1000;
    this.#available = Math.min(this.#burst, this.#available + refilled);
    this.#updatedMs = nowMs;
    if (this.#available < 1) {
      return (1 - this.#available) / this.#perS;
    }
    this.#available -= 1;
    return 0;
  }
}
