import type { Disposable } from "./disposable.js";

/**
 * A typed event. Calling the event with a listener adds that listener;
 * disposing the returned object removes the listener.
 */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Source of one typed event; listeners are called synchronously. */
export class Emitter<T> implements Disposable {
  readonly #listeners = new Set<(value: T) => void>();

  readonly event: Event<T> = (listener) => {
    this.#listeners.add(listener);
    return { dispose: () => this.#listeners.delete(listener) };
  };

  fire(value: T): void {
    for (const listener of this.#listeners) {
      listener(value);
    }
  }

  dispose(): void {
    this.#listeners.clear();
  }
}
