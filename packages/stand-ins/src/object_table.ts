/** An object as the object API returns it. */
export interface ObjectRow {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** Precondition of a write: the key is absent or has this version. */
export type Precondition = "absent" | number;

export type WriteResult =
  | { readonly applied: true; readonly version: number }
  | { readonly applied: false; readonly current: ObjectRow | undefined };

type Listener = (row: ObjectRow) => void;

/** The versioned key-value table behind the object API. */
export class ObjectTable {
  readonly #rows = new Map<string, ObjectRow>();
  /**
   * Last version of each key; retained for deleted keys too, so that a version
   * is never reused.
   */
  readonly #lastVersions = new Map<string, number>();
  readonly #listeners = new Map<string, Set<Listener>>();

  get(key: string): ObjectRow | undefined {
    return this.#rows.get(key);
  }

  /** Writes the value if the precondition holds. */
  put(key: string, value: unknown, precondition: Precondition): WriteResult {
    const current = this.#rows.get(key);
    if (!isPreconditionMet(current, precondition)) {
      return { applied: false, current };
    }
    const row = { key, version: this.#nextVersion(key), value };
    this.#rows.set(key, row);
    for (const listener of this.#listeners.get(key) ?? []) {
      listener(row);
    }
    return { applied: true, version: row.version };
  }

  delete(key: string, precondition: number): WriteResult {
    const current = this.#rows.get(key);
    if (!isPreconditionMet(current, precondition)) {
      return { applied: false, current };
    }
    this.#rows.delete(key);
    return { applied: true, version: this.#nextVersion(key) };
  }

  /**
   * Returns, in key order, up to `limit` rows whose keys start with `prefix`
   * and sort after `after`.
   */
  list(prefix: string, limit: number, after: string): ObjectRow[] {
    return [...this.#rows.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort()
      .slice(0, limit)
      .map((key) => this.#rows.get(key) as ObjectRow);
  }

  /**
   * Calls the listener after each put of the key; returns a function that
   * unsubscribes.
   */
  subscribe(key: string, listener: Listener): () => void {
    const listeners = this.#listeners.get(key) ?? new Set();
    this.#listeners.set(key, listeners.add(listener));
    return () => {
      listeners.delete(listener);
      if (listeners.size === 0) {
        this.#listeners.delete(key);
      }
    };
  }

  #nextVersion(key: string): number {
    const version = (this.#lastVersions.get(key) ?? 0) + 1;
    this.#lastVersions.set(key, version);
    return version;
  }
}

function isPreconditionMet(
  current: ObjectRow | undefined,
  precondition: Precondition,
): boolean {
  return precondition === "absent"
    ? !current
    : current?.version === precondition;
}
