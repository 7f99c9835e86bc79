/** A small document in the platform's store that outlives the processes. */
export abstract class SharedDocument {
  /**
   * Returns the document, or undefined if there is none; rejects with
   * `DirectoryCallError`.
   */
  abstract read(): Promise<unknown>;

  /** Replaces the document; rejects with `DirectoryCallError`. */
  abstract write(value: unknown): Promise<void>;
}
