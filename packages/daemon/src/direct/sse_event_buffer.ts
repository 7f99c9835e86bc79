/** A blank line ends an event of a server-sent event stream. */
const LF_EVENT_END = Buffer.from("\n\n");
const CRLF_EVENT_END = Buffer.from("\r\n\r\n");

/** Maximum size of one event. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** An event is larger than the router buffers; its stream cannot be relayed. */
export class OversizedEventError extends Error {
  override readonly name = "OversizedEventError";

  constructor() {
    super(`an event of the stream exceeds ${MAX_EVENT_BYTES} bytes`);
  }
}

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

  /**
   * Adds bytes and returns those up to the end of the last complete event. Throws
   * {@link OversizedEventError} if the event after that is too large.
   */
  push(chunk: Buffer): Buffer {
    const bytes = this.#bufferedBytes === 0
      ? chunk
      : Buffer.concat([...this.#buffered, chunk]);
    const end = endOfLastEvent(bytes);
    const complete = bytes.subarray(0, end);
    const rest = bytes.subarray(end);
    this.#buffered = rest.length > 0 ? [rest] : [];
    this.#bufferedBytes = rest.length;
    if (rest.length > MAX_EVENT_BYTES) {
      throw new OversizedEventError();
    }
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
  const lfIndex = bytes.lastIndexOf(LF_EVENT_END);
  const crlfIndex = bytes.lastIndexOf(CRLF_EVENT_END);
  return Math.max(
    lfIndex < 0 ? 0 : lfIndex + LF_EVENT_END.length,
    crlfIndex < 0 ? 0 : crlfIndex + CRLF_EVENT_END.length,
  );
}
