/** Ends an event of a server-sent event stream. */
const EVENT_END = Buffer.from("\n\n");
const CR_EVENT_END = Buffer.from("\r\n\r\n");

/**
 * Buffers a server-sent event stream and releases it in complete events.
 *
 * If another endpoint may continue the stream, no partial event may reach the
 * caller: the next endpoint sends that event again from its start.
 */
export class SseEventBuffer {
  #buffered: Buffer[] = [];
  #bufferedBytes = 0;
  #lastEventId: string | undefined;

  constructor(lastEventId: string | undefined) {
    this.#lastEventId = lastEventId;
  }

  /** Id of the last complete event that was returned, or the initial one. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Adds bytes and returns those up to the end of the last complete event. */
  push(chunk: Buffer): Buffer {
    const bytes = this.#bufferedBytes === 0
      ? chunk
      : Buffer.concat([...this.#buffered, chunk]);
    const end = endOfLastEvent(bytes);
    const complete = bytes.subarray(0, end);
    const rest = bytes.subarray(end);
    this.#buffered = rest.length > 0 ? [rest] : [];
    this.#bufferedBytes = rest.length;
    this.#updateLastEventId(complete);
    return complete;
  }

  /** Returns the bytes after the last complete event. Call at the end of the stream. */
  flush(): Buffer {
    const rest = Buffer.concat(this.#buffered);
    this.dropPartial();
    return rest;
  }

  /** Discards the partial event of an endpoint that failed. */
  dropPartial(): void {
    this.#buffered = [];
    this.#bufferedBytes = 0;
  }

  #updateLastEventId(events: Buffer): void {
    for (
      const [, id] of events.toString("latin1").matchAll(/^id: ?(.*?)\r?$/gm)
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
