import type { Millis } from "../clock.js";

/**
 * Longest time for which recorded tokens count, whatever their number: reports
 * of other routers may repeat what they reported before.
 */
const MAX_BACKLOG_MS: Millis = 2000;

/** Estimates the prompt tokens that an endpoint was sent and has not processed. */
export class PrefillBacklog {
  #tokens = 0;
  #updatedAtMs: Millis = 0;

  /** Records tokens that the endpoint has to process. */
  add(nowMs: Millis, tokens: number, tokensPerMs: number): void {
    this.#tokens = Math.min(
      this.remaining(nowMs, tokensPerMs) + tokens,
      MAX_BACKLOG_MS * tokensPerMs,
    );
    this.#updatedAtMs = nowMs;
  }

  /** Tokens that are left if the endpoint processes them at the given rate. */
  remaining(nowMs: Millis, tokensPerMs: number): number {
    const processed = (nowMs - this.#updatedAtMs) * tokensPerMs;
    return Math.max(0, this.#tokens - processed);
  }
}
