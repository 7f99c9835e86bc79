/** Token bucket over requests. */
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

  /** Takes one request; returns 0, or the wait in seconds if none is left. */
  take(nowMs: number): number {
    const earned = (nowMs - this.#updatedMs) * this.#perS / 1000;
    this.#available = Math.min(this.#burst, this.#available + earned);
    this.#updatedMs = nowMs;
    if (this.#available < 1) {
      return (1 - this.#available) / this.#perS;
    }
    this.#available -= 1;
    return 0;
  }
}
