/** A value that readers see as it was `lagMs` ago. */
export class LaggedValue<T> {
  #entries: { readonly atMs: number; readonly value: T }[];
  lagMs: number;

  constructor(initial: T, lagMs: number) {
    this.#entries = [{ atMs: Number.NEGATIVE_INFINITY, value: initial }];
    this.lagMs = lagMs;
  }

  /** Sets the current value; `nowMs` must not decrease between calls. */
  set(value: T, nowMs: number): void {
    this.#entries.push({ atMs: nowMs, value });
    this.#prune(nowMs);
  }

  /** Returns the newest of the values that were set at least `lagMs` ago. */
  read(nowMs: number): T {
    this.#prune(nowMs);
    return this.#entries[0].value;
  }

  /** Removes the values that readers can no longer see. */
  #prune(nowMs: number): void {
    const visibleUntilMs = nowMs - this.lagMs;
    const index = this.#entries.findLastIndex((e) => e.atMs <= visibleUntilMs);
    if (index > 0) {
      this.#entries.splice(0, index);
    }
  }
}
