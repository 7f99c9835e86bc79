import type { Millis } from "@anvildeal/core";

/** A timer that is later than this shows a process that was held up. */
const MAX_LATENESS_MS: Millis = 200;

/** What has arrived while the process was held up is handled within this time. */
const CATCH_UP_MS: Millis = 50;

/**
 * Tells when something that is handled now can have happened. A process that got
 * no processor time handles it late, after its overdue timers.
 */
export class HoldUpWatch {
  readonly #intervalMs: Millis;
  #lastTickMs: Millis | undefined;
  #heldUp: { readonly sinceMs: Millis; readonly untilMs: Millis } | undefined;

  /** @param intervalMs Interval of the timer that calls {@link tick}. */
  constructor(intervalMs: Millis) {
    this.#intervalMs = intervalMs;
  }

  /** Records that the timer was started or has fired. */
  tick(nowMs: Millis): void {
    this.#heldUp = this.#findHoldUp(nowMs);
    this.#lastTickMs = nowMs;
  }

  /** Returns the earliest time at which an event can have happened. */
  earliestMs(nowMs: Millis): Millis {
    const heldUp = this.#findHoldUp(nowMs) ?? this.#heldUp;
    return heldUp !== undefined && nowMs - heldUp.untilMs <= CATCH_UP_MS
      ? heldUp.sinceMs
      : nowMs;
  }

  /**
   * Returns the earliest time at which a message can have been sent that is
   * handled now. What was awaited during a hold-up may have arrived at its begin,
   * however long it takes to handle all that has arrived.
   *
   * @param awaitedSinceMs When the process began to wait for the message.
   */
  earliestSentMs(nowMs: Millis, awaitedSinceMs: Millis): Millis {
    const heldUp = this.#findHoldUp(nowMs) ?? this.#heldUp;
    return heldUp !== undefined && awaitedSinceMs < heldUp.untilMs
      ? Math.max(heldUp.sinceMs, awaitedSinceMs)
      : nowMs;
  }

  #findHoldUp(nowMs: Millis) {
    if (this.#lastTickMs === undefined) {
      return undefined;
    }
    const sinceMs = this.#lastTickMs + this.#intervalMs;
    return nowMs - sinceMs > MAX_LATENESS_MS
      ? { sinceMs: this.#lastTickMs, untilMs: nowMs }
      : undefined;
  }
}
