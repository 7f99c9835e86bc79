import type { Millis } from "../clock.js";

export interface RetryAllowance {
  /** Retries allowed for each request. */
  readonly ratio: number;
  /** Retries allowed in a window beside those that requests earn. */
  readonly extra: number;
}

/** Parts into which a window is cut; counts are dropped a part at a time. */
const PARTS = 10;

/**
 * Limits the retries of one service over a sliding window.
 *
 * The budget of a service is shared by all routers. Each router earns retries
 * from its own requests and takes an equal share of the extra ones, so the sum
 * stays within the budget without any exchange.
 */
export class RetryWindow {
  readonly #partMs: Millis;
  readonly #requests = Array.from({ length: PARTS }, () => 0);
  readonly #retries = Array.from({ length: PARTS }, () => 0);
  #part = 0;

  constructor(windowMs: Millis) {
    this.#partMs = windowMs / PARTS;
  }

  noteRequest(nowMs: Millis): void {
    this.#advance(nowMs);
    this.#requests[this.#part % PARTS]!++;
  }

  /** Whether the window allows one more retry. */
  hasRetry(nowMs: Millis, { ratio, extra }: RetryAllowance): boolean {
    this.#advance(nowMs);
    return sum(this.#retries) + 1 <= ratio * sum(this.#requests) + extra;
  }

  /** Takes one retry if the window still allows it. */
  tryRetry(nowMs: Millis, allowance: RetryAllowance): boolean {
    if (!this.hasRetry(nowMs, allowance)) {
      return false;
    }
    this.#retries[this.#part % PARTS]!++;
    return true;
  }

  #advance(nowMs: Millis): void {
    const part = Math.floor(nowMs / this.#partMs);
    const steps = Math.min(PARTS, part - this.#part);
    for (let i = 1; i <= steps; i++) {
      const index = (this.#part + i) % PARTS;
      this.#requests[index] = 0;
      this.#retries[index] = 0;
    }
    this.#part = Math.max(this.#part, part);
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
