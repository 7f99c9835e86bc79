/**
 * Handles events one after another. Events that are pushed while an event is
 * handled, such as by its effects, are queued until it has been handled.
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
