/**
 * A small document in the directory, shared by all routers. It persists
 * when all router processes end.
 */
export abstract class SharedDocument {
  /**
   * Returns the document, or undefined if it does not exist; rejects with
   * `DirectoryCallError`.
   */
  abstract read(): Promise<unknown>;

  /** Replaces the document; rejects with `DirectoryCallError`. */
  abstract write(value: unknown): Promise<void>;
}
