import type { Millis } from "@anvildeal/core";
import type { Disposable } from "../net/index.js";

/** Notices that calls which are made one after the other are no longer answered. */
export class AnswerTimer implements Disposable {
  readonly #timeoutMs: Millis;
  readonly #onOverdue: () => void;
  #timer: NodeJS.Timeout | undefined;
  #immediate: NodeJS.Immediate | undefined;

  constructor(timeoutMs: Millis, onOverdue: () => void) {
    this.#timeoutMs = timeoutMs;
    this.#onOverdue = onOverdue;
  }

  /** Records an answer, after which the next call is made. */
  recordAnswer(): void {
    this.stop();
    this.#timer = setTimeout(() => {
      // After a pause of the process, timers run before answers are read.
      this.#immediate = setImmediate(this.#onOverdue);
    }, this.#timeoutMs);
  }

  /** Expects no answer until the next one is recorded. */
  stop(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#immediate);
  }

  dispose(): void {
    this.stop();
  }
}
