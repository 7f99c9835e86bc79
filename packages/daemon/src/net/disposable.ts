/** An object that holds resources, such as sockets, until it is disposed. */
export interface Disposable {
  dispose(): void;
}
