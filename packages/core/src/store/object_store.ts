import type { Millis } from "../clock.js";

/** A value with the version that its last write gave it. */
export interface StoredObject {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

export interface ListOptions {
  readonly limit: number;
  /** Only keys that sort after this one are returned. */
  readonly after?: string;
}

export interface WatchOptions {
  /** The watch resolves once the version of the key exceeds this one. */
  readonly afterVersion: number;
  readonly timeoutMs: Millis;
  readonly signal?: AbortSignal;
}

/**
 * The platform's object API: versions, conditional updates and watches.
 *
 * Every method rejects with a `StoreError`. A write whose answer was lost
 * rejects with `StoreUnknownOutcomeError`; the caller must read the object
 * before it relies on either outcome.
 */
export abstract class ObjectStore {
  /** Reads an object, or returns undefined when the key does not exist. */
  abstract get(key: string): Promise<StoredObject | undefined>;

  /**
   * Creates an object and returns its version. Rejects with
   * `StoreConflictError` if the key exists.
   */
  abstract create(key: string, value: unknown): Promise<number>;

  /**
   * Replaces an object and returns its new version. Rejects with
   * `StoreConflictError` if the object does not have `ifVersion`.
   */
  abstract update(
    key: string,
    value: unknown,
    ifVersion: number,
  ): Promise<number>;

  /**
   * Deletes an object. Rejects with `StoreConflictError` if it does not have
   * `ifVersion`.
   */
  abstract delete(key: string, ifVersion: number): Promise<void>;

  /** Lists objects whose keys start with a prefix, in key order. */
  abstract list(prefix: string, options: ListOptions): Promise<StoredObject[]>;

  /** Waits for a newer version; resolves to undefined at the timeout. */
  abstract watch(
    key: string,
    options: WatchOptions,
  ): Promise<StoredObject | undefined>;
}
