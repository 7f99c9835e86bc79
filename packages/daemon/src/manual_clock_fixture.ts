import { Clock } from "@anvildeal/core";

/** Clock for tests; its time changes only when `timeMs` is set. */
export class ManualClock extends Clock {
  timeMs = 1_700_000_000_000;

  nowMs(): number {
    return this.timeMs;
  }

  wallMs(): number {
    return this.timeMs;
  }
}
