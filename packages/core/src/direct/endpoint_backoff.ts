import type { Millis } from "../clock.js";

/** A longer backoff than this is doubtful, and is cut to this. */
const MAX_BACKOFF_MS: Millis = 3_600_000;

/**
 * Times after an answer with a doubtful backoff at which one request each finds
 * out whether the endpoint serves. The platform allows two.
 */
const TRIAL_DELAYS_MS: readonly Millis[] = [5000, 60_000];

/**
 * Time for which an endpoint wants no requests of this router, as it names it
 * when it refuses one. Each answer counts, so the latest end holds.
 */
export class EndpointBackoff {
  #untilMs: Millis = Number.NEGATIVE_INFINITY;
  /** When the newest answer with a backoff arrived, and the end that it named. */
  #newest = {
    observedMs: Number.NEGATIVE_INFINITY,
    untilMs: Number.NEGATIVE_INFINITY,
  };
  #doubtfulUntilMs: Millis = Number.NEGATIVE_INFINITY;
  /** When the newest answer with a doubtful backoff arrived. */
  #doubtfulSinceMs: Millis = Number.NEGATIVE_INFINITY;
  /** Times from which a request may try the endpoint in spite of the backoff. */
  #trialsMs: Millis[] = [];

  /**
   * Applies the time that an answer names.
   *
   * @returns Whether the endpoint was free before.
   */
  observe(nowMs: Millis, backoffMs: Millis): boolean {
    const wasFree = nowMs >= Math.max(this.#untilMs, this.#doubtfulUntilMs);
    if (backoffMs <= MAX_BACKOFF_MS) {
      this.#newest = { observedMs: nowMs, untilMs: nowMs + backoffMs };
      this.#untilMs = Math.max(this.#untilMs, nowMs + backoffMs);
    } else {
      this.#observeDoubtful(nowMs);
    }
    return wasFree && backoffMs > 0;
  }

  /** Applies the newest answer to another backoff if it arrived after a time. */
  takeOver(other: EndpointBackoff, sinceMs: Millis): void {
    const newest = other.#newest;
    if (newest.observedMs >= sinceMs) {
      this.#untilMs = Math.max(this.#untilMs, newest.untilMs);
    }
  }

  /** Time until a request may be sent; 0 if one may be sent now. */
  waitMs(nowMs: Millis): Millis {
    const doubtfulUntilMs = Math.min(
      this.#doubtfulUntilMs,
      this.#trialsMs[0] ?? Infinity,
    );
    return Math.max(0, this.#untilMs - nowMs, doubtfulUntilMs - nowMs);
  }

  /** Records that a request is sent. */
  recordRequest(nowMs: Millis): void {
    if (nowMs < this.#doubtfulUntilMs) {
      this.#trialsMs.shift();
    }
  }

  /** Ends a doubtful backoff if the endpoint served a request sent during it. */
  recordSuccess(sentMs: Millis): void {
    if (sentMs > this.#doubtfulSinceMs) {
      this.#doubtfulUntilMs = Number.NEGATIVE_INFINITY;
    }
  }

  #observeDoubtful(nowMs: Millis): void {
    if (nowMs >= this.#doubtfulUntilMs) {
      this.#doubtfulUntilMs = nowMs + MAX_BACKOFF_MS;
      this.#trialsMs = TRIAL_DELAYS_MS.map((delayMs) => nowMs + delayMs);
    }
    this.#doubtfulSinceMs = nowMs;
  }
}
