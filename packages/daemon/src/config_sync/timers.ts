import type { Millis } from "@anvildeal/core";

export interface TimerHandle {
  /** Cancels the timer; has no effect after the callback has run. */
  cancel(): void;
}

/** Source of timers, injected so that tests control when they fire. */
export interface Timers {
  after(delayMs: Millis, callback: () => void): TimerHandle;
}
