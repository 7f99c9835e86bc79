import type { Clock, DirectEvent, Millis } from "@anvildeal/core";

/**
 * The directory counts as unavailable after this many consecutive failed calls
 * for one collection.
 */
const UNAVAILABLE_AFTER_FAILURES = 2;

export interface DirectoryHealthOptions {
  /** Labels of the collections that are watched. */
  readonly labels: readonly string[];
  readonly clock: Clock;
  readonly push: (event: DirectEvent) => void;
}

/**
 * Tracks whether the directory is available, when the collections were last
 * known to be up to date, and whether the directory was restored.
 */
export class DirectoryHealth {
  readonly #options: DirectoryHealthOptions;
  /** Consecutive failed calls by label of the collection. */
  readonly #failures = new Map<string, number>();
  /** When a collection was last known to be up to date, by its label. */
  readonly #confirmedMs = new Map<string, Millis>();
  /** Highest known epoch of the directory; undefined before the first answer. */
  #epoch: number | undefined;
  #lastFailureMs: Millis = Number.NEGATIVE_INFINITY;

  constructor(options: DirectoryHealthOptions) {
    this.#options = options;
  }

  /**
   * Records that a call for a collection was answered.
   *
   * @param confirmedMs Earliest time at which the answer can have been given.
   */
  recordAnswer(label: string, confirmedMs: Millis): void {
    this.#lastFailureMs = Number.NEGATIVE_INFINITY;
    this.#confirm([label], confirmedMs);
    this.clearFailures(label);
  }

  /**
   * Records that another router confirmed what this one knows of collections.
   *
   * @param confirmedMs Earliest time at which it can have done so.
   */
  recordConfirmation(labels: readonly string[], confirmedMs: Millis): void {
    this.#confirm(labels, confirmedMs);
  }

  /** Whether a call failed within this time, and none was answered since. */
  failedWithin(durationMs: Millis): boolean {
    return this.#options.clock.nowMs() - this.#lastFailureMs < durationMs;
  }

  recordFailure(label: string): void {
    this.#lastFailureMs = this.#options.clock.nowMs();
    this.#setFailures(label, (this.#failures.get(label) ?? 0) + 1);
  }

  /** Forgets the failed calls for a collection, which is no longer watched. */
  clearFailures(label: string): void {
    this.#setFailures(label, 0);
  }

  /**
   * Returns whether an epoch shows that the directory was restored from an older
   * copy since the last one that was observed, and reports it.
   */
  observeEpoch(epoch: number): boolean {
    const previousEpoch = this.#epoch;
    if (previousEpoch !== undefined && epoch <= previousEpoch) {
      return false;
    }
    this.#epoch = epoch;
    if (previousEpoch === undefined) {
      return false;
    }
    this.#options.push({
      type: "directory_restored",
      nowMs: this.#options.clock.nowMs(),
      epoch,
    });
    return true;
  }

  #confirm(labels: readonly string[], confirmedMs: Millis): void {
    for (const label of labels) {
      const previousMs = this.#confirmedMs.get(label) ?? confirmedMs;
      this.#confirmedMs.set(label, Math.max(previousMs, confirmedMs));
    }
    if (this.#confirmedMs.size === this.#options.labels.length) {
      this.#options.push({
        type: "directory_confirmed",
        nowMs: this.#options.clock.nowMs(),
        confirmedMs: Math.min(...this.#confirmedMs.values()),
      });
    }
  }

  /**
   * Reports whether the directory is available. A single failure reports
   * nothing, since it may be an interrupted watch call rather than an outage.
   */
  #setFailures(label: string, failures: number): void {
    this.#failures.set(label, failures);
    const maxFailures = Math.max(...this.#failures.values());
    if (maxFailures === 0 || maxFailures >= UNAVAILABLE_AFTER_FAILURES) {
      this.#options.push({
        type: "directory_state_changed",
        nowMs: this.#options.clock.nowMs(),
        available: maxFailures === 0,
      });
    }
  }
}
