import { Clock } from "@anvildeal/core";

/** Clock for tests that stands still until it is moved. */
export class ManualClock extends Clock {
  timeMs = 1_700_000_000_000;

  nowMs(): number {
    return this.timeMs;
  }

  wallMs(): number {
    return this.timeMs;
  }
}
