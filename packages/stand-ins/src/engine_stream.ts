/** Receives one or more formatted server-sent events. */
type Subscriber = (event: string) => void;

/**
 * The numbered events of one answer. All events are retained, so that a
 * subscriber can start or resume from any of them.
 */
export class EngineStream {
  readonly id: string;
  readonly #events: string[] = [];
  readonly #subscribers = new Map<Subscriber, () => void>();
  #ended = false;

  constructor(id: string) {
    this.id = id;
  }

  get ended(): boolean {
    return this.#ended;
  }

  get subscriberCount(): number {
    return this.#subscribers.size;
  }

  /** Adds an event with the next number; `data` must be a single line. */
  push(data: string): void {
    const event = `id: ${this.#events.length}\ndata: ${data}\n\n`;
    this.#events.push(event);
    for (const send of this.#subscribers.keys()) {
      send(event);
    }
  }

  end(): void {
    this.#ended = true;
    for (const onEnd of this.#subscribers.values()) {
      onEnd();
    }
    this.#subscribers.clear();
  }

  /**
   * Sends the past and future events from number `from` on to the subscriber
   * and calls `onEnd` after the last one; returns a function that unsubscribes.
   */
  subscribe(from: number, send: Subscriber, onEnd: () => void): () => void {
    const pastEvents = this.#events.slice(from).join("");
    if (pastEvents) {
      send(pastEvents);
    }
    if (this.#ended) {
      onEnd();
      return () => {};
    }
    this.#subscribers.set(send, onEnd);
    return () => this.#subscribers.delete(send);
  }
}
