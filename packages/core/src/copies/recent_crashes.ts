import type { Millis } from "../clock.js";

/** Endpoints that crash one after the other do so within this time. */
const SERIES_MS: Millis = 10_000;

/** When endpoints of each service last crashed, as far as this router knows. */
export class RecentCrashes {
  readonly #lastMs = new Map<string, Millis>();

  record(service: string, crashedMs: Millis): void {
    const lastMs = this.#lastMs.get(service) ?? Number.NEGATIVE_INFINITY;
    this.#lastMs.set(service, Math.max(lastMs, crashedMs));
  }

  /** Whether further crashes are likely, because one was seen shortly before. */
  areLikely(service: string, nowMs: Millis): boolean {
    const lastMs = this.#lastMs.get(service);
    return lastMs !== undefined && nowMs - lastMs < SERIES_MS;
  }
}
