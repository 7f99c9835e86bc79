/** A blank line ends an event of a server-sent event stream. */
const LF_EVENT_END = Buffer.from("\n\n");
const CRLF_EVENT_END = Buffer.from("\r\n\r\n");

/** Bytes of an event end that may have arrived without its last one. */
const MAX_TAIL_BYTES = CRLF_EVENT_END.length - 1;

const NO_BYTES = Buffer.alloc(0);

/** Maximum size of one event. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** An event is larger than the router buffers; its stream cannot be relayed. */
export class OversizedEventError extends Error {
  override readonly name = "OversizedEventError";

  constructor() {
    super(`an event of the stream exceeds ${MAX_EVENT_BYTES} bytes`);
  }
}

/** An event is not one that follows the events before it. */
export class UnorderedEventError extends Error {
  override readonly name = "UnorderedEventError";

  constructor(lastEventId: string, id: string | undefined) {
    super(
      `event ${id ?? "without an id"} does not follow event ${lastEventId}`,
    );
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
  /** Last bytes of `#buffered`, in which an event end may have begun. */
  #tail = NO_BYTES;
  #lastEventId: string | undefined;
  #idCount = 0;
  /** Whether the next event is the first one of an answer that continues others. */
  #isContinued: boolean;

  constructor(lastEventId: string | undefined) {
    this.#lastEventId = lastEventId;
    this.#isContinued = lastEventId !== undefined;
  }

  /** Id of the last complete event that was returned, or the initial one. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Number of ids in the events that were returned. */
  get idCount(): number {
    return this.#idCount;
  }

  /**
   * Adds bytes and returns those up to the end of the last complete event. Throws
   * {@link OversizedEventError} if the event after that is too large, and {@link
   * UnorderedEventError} if an event does not follow the one before it.
   */
  push(chunk: Buffer): Buffer {
    const end = this.#endOfLastEventIn(chunk);
    if (end === 0) {
      this.#keep(chunk);
      return NO_BYTES;
    }
    const complete = concat(this.#buffered, chunk.subarray(0, end));
    this.#dropPartial();
    this.#keep(chunk.subarray(end));
    this.#updateLastEventId(complete);
    return complete;
  }

  /** Returns the bytes after the last complete event. Call at the end of the stream. */
  flush(): Buffer {
    const rest = Buffer.concat(this.#buffered);
    this.#dropPartial();
    return rest;
  }

  /** Expects that the next bytes come from another endpoint. */
  prepareResume(): void {
    this.#dropPartial();
    this.#isContinued = this.#lastEventId !== undefined;
  }

  /**
   * Offset after the last event that ends in the chunk, or 0. Only the new bytes are
   * searched, so that the time for a large event grows with its size.
   */
  #endOfLastEventIn(chunk: Buffer): number {
    const kept = this.#bufferedBytes === 0 ? [] : [this.#tail];
    const end = endOfLastEvent(concat(kept, chunk));
    return Math.max(0, end - this.#tail.length);
  }

  #keep(rest: Buffer): void {
    if (rest.length > 0) {
      this.#buffered.push(rest);
      this.#bufferedBytes += rest.length;
      this.#tail = Buffer.concat([this.#tail, rest.subarray(-MAX_TAIL_BYTES)])
        .subarray(-MAX_TAIL_BYTES);
    }
    if (this.#bufferedBytes > MAX_EVENT_BYTES) {
      throw new OversizedEventError();
    }
  }

  #dropPartial(): void {
    this.#buffered = [];
    this.#bufferedBytes = 0;
    this.#tail = NO_BYTES;
  }

  #updateLastEventId(events: Buffer): void {
    const text = events.toString("latin1");
    if (this.#isContinued) {
      this.#checkFirstEvent(text);
    }
    let lastId = this.#lastEventId;
    for (const [, id] of text.matchAll(/^id: ?(.*?)\r?$/gm)) {
      if (lastId !== undefined && !follows(lastId, id!)) {
        throw new UnorderedEventError(lastId, id);
      }
      lastId = id;
      this.#idCount++;
    }
    this.#lastEventId = lastId;
  }

  /** An event without an id may be a message about an error, or one come twice. */
  #checkFirstEvent(events: string): void {
    const first = events.split(/\r?\n\r?\n/)
      .find((event) => /^[^:\r\n]/m.test(event));
    if (first === undefined) {
      return;
    }
    if (!/^id:/m.test(first)) {
      throw new UnorderedEventError(this.#lastEventId!, undefined);
    }
    this.#isContinued = false;
  }
}

/** Ids that are not numbers cannot be compared. */
function follows(lastId: string, id: string): boolean {
  const isNumber = /^\d+$/;
  return !isNumber.test(lastId) || !isNumber.test(id) ||
    Number(id) > Number(lastId);
}

/** Copies only if there is more than one part. */
function concat(parts: readonly Buffer[], last: Buffer): Buffer {
  return parts.length === 0 ? last : Buffer.concat([...parts, last]);
}

function endOfLastEvent(bytes: Buffer): number {
  const lfIndex = bytes.lastIndexOf(LF_EVENT_END);
  const crlfIndex = bytes.lastIndexOf(CRLF_EVENT_END);
  return Math.max(
    lfIndex < 0 ? 0 : lfIndex + LF_EVENT_END.length,
    crlfIndex < 0 ? 0 : crlfIndex + CRLF_EVENT_END.length,
  );
}
