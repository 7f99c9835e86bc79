import { type Clock, TokenBucket } from "@anvildeal/core";
import { TimerSet } from "./timer_set.js";

/**
 * Runs tasks one after another at a limited rate. The limit keeps background
 * calls to the object store from delaying the store calls that a caller waits
 * for, in particular right after an outage of the store.
 */
export class CallPacer {
  readonly #clock: Clock;
  readonly #bucket: TokenBucket;
  readonly #timers = new TimerSet();
  readonly #tasks: (() => Promise<void>)[] = [];
  #running = false;
  #disposed = false;

  constructor(clock: Clock, callsPerS: number, burstCalls: number) {
    this.#clock = clock;
    this.#bucket = new TokenBucket(callsPerS, burstCalls, clock.nowMs());
  }

  /** Adds a task that makes one call to the store and does not reject. */
  add(task: () => Promise<void>): void {
    this.#tasks.push(task);
    this.#startNextTask();
  }

  dispose(): void {
    this.#disposed = true;
    this.#tasks.length = 0;
    this.#timers.dispose();
  }

  #startNextTask(): void {
    if (this.#running || this.#disposed || this.#tasks.length === 0) {
      return;
    }
    this.#running = true;
    const waitMs = this.#bucket.waitMs(1, this.#clock.nowMs());
    if (waitMs > 0) {
      this.#timers.after(waitMs, () => this.#resume());
      return;
    }
    void this.#runFirstTask();
  }

  #resume(): void {
    this.#running = false;
    this.#startNextTask();
  }

  async #runFirstTask(): Promise<void> {
    this.#bucket.tryConsume(1, this.#clock.nowMs());
    await this.#tasks.shift()?.();
    this.#resume();
  }
}
