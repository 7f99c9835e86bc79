import type { StoredObject } from "./object_store.js";

/** Every rejection of an `ObjectStore` method is an instance of this class. */
export abstract class StoreError extends Error {}

/** The call was not applied: the store refused it or could not be reached. */
export class StoreUnavailableError extends StoreError {
  override readonly name = "StoreUnavailableError";
}

/** The answer to a write was lost; the write may have been applied. */
export class StoreUnknownOutcomeError extends StoreError {
  override readonly name = "StoreUnknownOutcomeError";
}

/** The condition of a write did not hold; nothing was changed. */
export class StoreConflictError extends StoreError {
  override readonly name = "StoreConflictError";
  /** The object that the store holds, or undefined when the key is absent. */
  readonly current: StoredObject | undefined;

  constructor(key: string, current: StoredObject | undefined) {
    super(`Object ${key} is not at the version that the write requires`);
    this.current = current;
  }
}
