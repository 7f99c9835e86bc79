import type { Millis } from "@anvildeal/core";

/** Timers that are cleared together and do not keep the process alive. */
export class TimerSet {
  readonly #timers = new Set<NodeJS.Timeout>();
  #disposed = false;

  after(delayMs: Millis, callback: () => void): void {
    if (this.#disposed) {
      return;
    }
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      callback();
    }, delayMs);
    timer.unref();
    this.#timers.add(timer);
  }

  dispose(): void {
    this.#disposed = true;
    for (const timer of this.#timers) {
      clearTimeout(timer);
    }
    this.#timers.clear();
  }
}
