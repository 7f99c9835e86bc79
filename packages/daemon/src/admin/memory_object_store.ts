import {
  type ListOptions,
  ObjectStore,
  StoreConflictError,
  type StoredObject,
  StoreUnavailableError,
  StoreUnknownOutcomeError,
  type WatchOptions,
} from "@anvildeal/core";

/** Fault that is injected into one call to the store. */
export type StoreFault =
  /** The call is refused before it has an effect. */
  | "unavailable"
  /** A write takes effect and its response is lost. */
  | "answer_lost"
  /** A write has no effect and its response is lost. */
  | "write_lost"
  /** A write whose response is lost takes effect `LATE_WRITE_DELAY_MS` later. */
  | "applied_late";

/** Shorter than the time in which `writeAndResolve` resolves an outcome. */
const LATE_WRITE_DELAY_MS = 60;

/**
 * Object store in memory for tests, with the semantics of docs/design.md
 * section 9: conditional writes and versions that rise with each write to a
 * key. Tests inject faults.
 */
export class MemoryObjectStore extends ObjectStore {
  readonly #objects = new Map<string, StoredObject>();
  /**
   * Last version of each key. An entry stays after a delete, so that a key that
   * is created again continues with a higher version.
   */
  readonly #lastVersions = new Map<string, number>();
  /** Called before each call; may delay it and returns the fault to apply. */
  fault: (
    operation: "read" | "write",
    key: string,
  ) => StoreFault | undefined | Promise<StoreFault | undefined> = () =>
    undefined;
  /** Called after each write that has taken effect. */
  onWriteApplied: (key: string) => void = () => {};

  /** Reads an object; no fault is applied. */
  peek(key: string): StoredObject | undefined {
    return structuredClone(this.#objects.get(key));
  }

  async get(key: string): Promise<StoredObject | undefined> {
    await this.#applyReadFault(key);
    return structuredClone(this.#objects.get(key));
  }

  async create(key: string, value: unknown): Promise<number> {
    return this.#write(key, value, undefined);
  }

  async update(
    key: string,
    value: unknown,
    ifVersion: number,
  ): Promise<number> {
    return this.#write(key, value, ifVersion);
  }

  async delete(key: string, ifVersion: number): Promise<void> {
    await this.#write(key, undefined, ifVersion);
  }

  async list(
    prefix: string,
    { limit, after = "" }: ListOptions,
  ): Promise<StoredObject[]> {
    await this.#applyReadFault(prefix);
    return [...this.#objects.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => a.key < b.key ? -1 : 1)
      .slice(0, limit);
  }

  /** Returns at once; the administration API does not use watches. */
  async watch(
    key: string,
    { afterVersion }: WatchOptions,
  ): Promise<StoredObject | undefined> {
    const object = await this.get(key);
    return object && object.version > afterVersion ? object : undefined;
  }

  async #applyReadFault(key: string): Promise<void> {
    if (await this.fault("read", key) !== undefined) {
      throw new StoreUnavailableError("The store is down");
    }
  }

  async #write(
    key: string,
    value: unknown,
    ifVersion: number | undefined,
  ): Promise<number> {
    const fault = await this.fault("write", key);
    if (fault === "unavailable") {
      throw new StoreUnavailableError("The store is down");
    }
    if (fault === "applied_late") {
      setTimeout(
        () => this.#applyLate(key, value, ifVersion),
        LATE_WRITE_DELAY_MS,
      );
    }
    if (fault === "write_lost" || fault === "applied_late") {
      throw new StoreUnknownOutcomeError("The answer was lost");
    }
    const version = this.#apply(key, value, ifVersion);
    if (fault === "answer_lost") {
      throw new StoreUnknownOutcomeError("The answer was lost");
    }
    return version;
  }

  #applyLate(key: string, value: unknown, ifVersion: number | undefined): void {
    if (this.#objects.get(key)?.version === ifVersion) {
      this.#apply(key, value, ifVersion);
    }
  }

  #apply(key: string, value: unknown, ifVersion: number | undefined): number {
    const current = this.#objects.get(key);
    if (current?.version !== ifVersion) {
      throw new StoreConflictError(key, structuredClone(current));
    }
    const version = (this.#lastVersions.get(key) ?? 0) + 1;
    this.#lastVersions.set(key, version);
    if (value === undefined) {
      this.#objects.delete(key);
    } else {
      this.#objects.set(key, { key, version, value: structuredClone(value) });
    }
    this.onWriteApplied(key);
    return version;
  }
}
