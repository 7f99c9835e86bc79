import type { Millis } from "@anvildeal/core";

export interface TimerHandle {
  /** Has no effect once the callback has run. */
  cancel(): void;
}

/** Source of timers, injected so that tests decide when they fire. */
export interface Timers {
  after(delayMs: Millis, callback: () => void): TimerHandle;
}
