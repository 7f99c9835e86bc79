/** Something that was opened and must be closed. */
export interface Disposable {
  dispose(): void;
}
