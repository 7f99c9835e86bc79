/**
 * Handles events one after the other. Effects of an event can cause further
 * events at once; those wait until it has been handled completely.
 */
export class EventQueue<E> {
  readonly #handle: (event: E) => void;
  readonly #pending: E[] = [];
  #running = false;

  constructor(handle: (event: E) => void) {
    this.#handle = handle;
  }

  push(event: E): void {
    this.#pending.push(event);
    if (this.#running) {
      return;
    }
    this.#running = true;
    try {
      for (
        let next = this.#pending.shift();
        next !== undefined;
        next = this.#pending.shift()
      ) {
        this.#handle(next);
      }
    } finally {
      this.#running = false;
    }
  }
}
