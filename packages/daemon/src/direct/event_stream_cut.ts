/** Ends an event of a server-sent event stream. */
const EVENT_END = Buffer.from("\n\n");
const CR_EVENT_END = Buffer.from("\r\n\r\n");

/**
 * Cuts the bytes of an event stream after whole events.
 *
 * A stream that may be continued by another endpoint must not pass a part of
 * an event on, because the next endpoint sends that event again from its start.
 */
export class EventStreamCut {
  #held: Buffer[] = [];
  #heldBytes = 0;
  #lastEventId: string | undefined;

  constructor(lastEventId: string | undefined) {
    this.#lastEventId = lastEventId;
  }

  /** Id of the last whole event that was returned. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Adds bytes and returns those up to the end of the last whole event. */
  push(chunk: Buffer): Buffer {
    const bytes = this.#heldBytes === 0
      ? chunk
      : Buffer.concat([...this.#held, chunk]);
    const end = endOfLastEvent(bytes);
    const whole = bytes.subarray(0, end);
    const rest = bytes.subarray(end);
    this.#held = rest.length > 0 ? [rest] : [];
    this.#heldBytes = rest.length;
    this.#noteIds(whole);
    return whole;
  }

  /** Returns the bytes after the last whole event, once the stream is whole. */
  flush(): Buffer {
    const rest = Buffer.concat(this.#held);
    this.dropPartial();
    return rest;
  }

  /** Forgets the part of an event that an endpoint left behind. */
  dropPartial(): void {
    this.#held = [];
    this.#heldBytes = 0;
  }

  #noteIds(whole: Buffer): void {
    for (
      const [, id] of whole.toString("latin1").matchAll(/^id: ?(.*?)\r?$/gm)
    ) {
      this.#lastEventId = id;
    }
  }
}

function endOfLastEvent(bytes: Buffer): number {
  const plain = bytes.lastIndexOf(EVENT_END);
  const withCr = bytes.lastIndexOf(CR_EVENT_END);
  return Math.max(
    plain < 0 ? 0 : plain + EVENT_END.length,
    withCr < 0 ? 0 : withCr + CR_EVENT_END.length,
  );
}
