import type { Millis } from "../clock.js";

/** Maximum number of crashes that are remembered of all endpoints. */
const MAX_KNOWN_CRASHES = 1000;

/** Times of the crashes that any router saw, by endpoint process. */
export class KnownCrashes {
  readonly #timesMs = new Map<string, Millis>();

  /**
   * Records a crash. Of several reports the earliest time holds, since reports
   * arrive late and never early.
   */
  record(endpointProcess: string, crashedMs: Millis): void {
    const knownMs = this.#timesMs.get(endpointProcess);
    if (knownMs !== undefined) {
      this.#timesMs.set(endpointProcess, Math.min(knownMs, crashedMs));
      return;
    }
    this.#timesMs.set(endpointProcess, crashedMs);
    if (this.#timesMs.size > MAX_KNOWN_CRASHES) {
      const [oldest] = this.#timesMs.keys();
      this.#timesMs.delete(oldest!);
    }
  }

  timeOf(endpointProcess: string): Millis | undefined {
    return this.#timesMs.get(endpointProcess);
  }

  /** Endpoint processes that crashed within the same moment as a time. */
  near(timeMs: Millis, momentMs: Millis): string[] {
    return [...this.#timesMs].flatMap(([endpointProcess, otherMs]) =>
      Math.abs(otherMs - timeMs) <= momentMs ? [endpointProcess] : []
    );
  }
}
