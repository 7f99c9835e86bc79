import type { Millis } from "../clock.js";

/** Copies of running requests that an endpoint holds for this router. */
export class HeldCopies {
  #runningTokens = 0;
  /** Copies whose runs did not end successfully, and when they are dropped. */
  #kept: { readonly tokens: number; readonly untilMs: Millis }[] = [];

  /** Adds the copy of a run that starts. */
  add(tokens: number): void {
    this.#runningTokens += tokens;
  }

  /** Removes the copy of a run that ended successfully or never ran. */
  remove(tokens: number): void {
    this.#runningTokens -= tokens;
  }

  /** Keeps the copy of a run that broke off until it is dropped. */
  keepUntil(untilMs: Millis, tokens: number): void {
    this.#runningTokens -= tokens;
    this.#kept.push({ tokens, untilMs });
  }

  /** Size of all copies in tokens. */
  tokens(nowMs: Millis): number {
    this.#kept = this.#kept.filter(({ untilMs }) => nowMs < untilMs);
    return this.#kept.reduce(
      (sum, { tokens }) => sum + tokens,
      this.#runningTokens,
    );
  }
}
