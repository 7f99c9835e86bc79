/** A document as the directory holds it. */
export interface StoredDocument {
  readonly name: string;
  /** Rises with each change of a document of the folder. */
  readonly revision: number;
  readonly value: unknown;
}

/** Small documents of one kind in the directory, shared by all routers. */
export abstract class DocumentFolder {
  /** Reads all documents; rejects with `DirectoryCallError`. */
  abstract list(): Promise<readonly StoredDocument[]>;

  /**
   * Writes a document; rejects with `DirectoryCallError`.
   *
   * @param exists Whether the document is known to exist. A wrong value costs a
   *   further call.
   */
  abstract write(name: string, value: unknown, exists: boolean): Promise<void>;
}
