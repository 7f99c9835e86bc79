import type { Millis, RequestTimer } from "@anvildeal/core";
import type { Disposable } from "../net/index.js";
import { afterNextPoll } from "../next_poll.js";

/**
 * The timers of the requests of a router; one of each kind for a request. They fire
 * after what has arrived is read, since a process that was held up runs overdue
 * timers first.
 */
export class RequestTimers implements Disposable {
  readonly #onFired: (key: number, timer: RequestTimer) => void;
  readonly #timers = new Map<string, NodeJS.Timeout>();

  constructor(onFired: (key: number, timer: RequestTimer) => void) {
    this.#onFired = onFired;
  }

  /** Starts a timer, instead of the one of this kind that the request has. */
  set(key: number, timer: RequestTimer, delayMs: Millis): void {
    this.clear(key, timer);
    const id = timerId(key, timer);
    const fire = () => {
      if (this.#timers.get(id) === timeout) {
        this.#timers.delete(id);
        this.#onFired(key, timer);
      }
    };
    const timeout = setTimeout(() => afterNextPoll(fire), delayMs);
    this.#timers.set(id, timeout);
  }

  clear(key: number, timer: RequestTimer): void {
    const id = timerId(key, timer);
    clearTimeout(this.#timers.get(id));
    this.#timers.delete(id);
  }

  /** Clears all timers of a request. */
  clearAll(key: number): void {
    this.clear(key, "deadline");
    this.clear(key, "attempt");
  }

  dispose(): void {
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.#timers.clear();
  }
}

function timerId(key: number, timer: RequestTimer): string {
  return `${key}/${timer}`;
}
