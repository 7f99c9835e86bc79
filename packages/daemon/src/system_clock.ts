import { Clock, type Millis } from "@anvildeal/core";

/** Clock of the operating system; `nowMs` is monotonic. */
export class SystemClock extends Clock {
  nowMs(): Millis {
    return performance.now();
  }

  wallMs(): Millis {
    return Date.now();
  }
}
