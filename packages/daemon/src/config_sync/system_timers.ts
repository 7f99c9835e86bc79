import type { Millis } from "@anvildeal/core";
import type { TimerHandle, Timers } from "./timers.js";

/** Timers of Node.js that do not keep the process alive. */
export class SystemTimers implements Timers {
  after(delayMs: Millis, callback: () => void): TimerHandle {
    const timer = setTimeout(callback, delayMs).unref();
    return { cancel: () => clearTimeout(timer) };
  }
}
