/** Handles events with a reducer, and carries out the effects that it returns. */
export interface EventHandler<E, F> {
  readonly reduce: (event: E) => readonly F[];
  readonly runEffect: (effect: F) => void;
  /**
   * Called if the reducer or an effect throws; must not throw itself. The other
   * effects and events are handled nevertheless, as they belong to other calls.
   *
   * @param effect Undefined if the reducer threw.
   */
  readonly onFailure: (error: unknown, event: E, effect?: F) => void;
}

/**
 * Handles events one after another. Events that are pushed while an event is
 * handled, such as by its effects, are queued until it has been handled.
 */
export class EventQueue<E, F> {
  readonly #handler: EventHandler<E, F>;
  readonly #pending: E[] = [];
  #running = false;

  constructor(handler: EventHandler<E, F>) {
    this.#handler = handler;
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

  #handle(event: E): void {
    const { onFailure, runEffect } = this.#handler;
    let effects: readonly F[];
    try {
      effects = this.#handler.reduce(event);
    } catch (error) {
      onFailure(error, event);
      return;
    }
    for (const effect of effects) {
      try {
        runEffect(effect);
      } catch (error) {
        onFailure(error, event, effect);
      }
    }
  }
}
