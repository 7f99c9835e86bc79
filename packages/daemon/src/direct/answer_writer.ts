import type {
  AnswerFraming,
  AnswerReport,
  ConnectionEnding,
} from "@anvildeal/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { SseEventBuffer } from "./sse_event_buffer.js";
import { SseEventTracker } from "./sse_event_tracker.js";
import type { RawHeaders } from "./call_dialect.js";

/** Where the answer comes from. */
export interface AnswerSource {
  readonly framing: AnswerFraming;
  readonly connectionEnding: ConnectionEnding;
}

export interface EventFraming {
  /** Forward only complete server-sent events; buffer partial ones. */
  readonly bufferEvents: boolean;
  /** Whether the answer can be continued only if all its events have ids. */
  readonly needsEventIds: boolean;
  /** The body is a stream of server-sent events. */
  readonly eventStream: boolean;
}

/** A caller's request and the answer that the router writes to that caller. */
export class AnswerWriter {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  #eventBuffer: SseEventBuffer | undefined;
  #needsEventIds = false;
  #lastEventId: string | undefined;
  #eventTracker: SseEventTracker | undefined;
  /**
   * The end of the caller's connection marks the end of the body, since HTTP/1.0
   * has no other mark for a body of unknown length.
   */
  #closeDelimited = false;
  #source: AnswerSource | undefined;
  /** The last two chunks of a stream whose events are not buffered. */
  #lastChunks: readonly Buffer[] = [];
  readonly #announceClose: () => boolean;

  /**
   * @param announceClose Called before the head of the answer is written; returns
   *   whether it must ask the caller to close its connection.
   */
  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    lastEventId: string | undefined,
    announceClose: () => boolean,
  ) {
    this.#announceClose = announceClose;
    this.request = request;
    this.response = response;
    this.body = body;
    this.#lastEventId = lastEventId;
  }

  /** Id of the last event sent to the caller; the next attempt continues after it. */
  get lastEventId(): string | undefined {
    return this.#eventBuffer
      ? this.#eventBuffer.lastEventId
      : this.#lastEventId;
  }

  /**
   * Whether another endpoint can continue the answer without the caller
   * noticing: nothing was sent yet, or only complete events of a stream.
   */
  get canResume(): boolean {
    return !this.response.headersSent ||
      this.#eventBuffer !== undefined &&
        (!this.#needsEventIds ||
          this.#eventBuffer.idCount === this.#eventTracker?.completeEvents);
  }

  /**
   * Sends status and headers to the caller. Does nothing if they were sent: an
   * answer that another endpoint continues keeps the headers of the first one.
   *
   * A body without a length is sent in chunks, whose last one only {@link end}
   * writes: if the router ends first, the answer is visibly incomplete.
   */
  begin(
    source: AnswerSource,
    status: number,
    headers: RawHeaders,
    { bufferEvents, eventStream, needsEventIds }: EventFraming,
  ): void {
    this.#source = source;
    if (this.response.headersSent) {
      return;
    }
    this.#needsEventIds = needsEventIds;
    if (bufferEvents) {
      this.#eventBuffer = new SseEventBuffer(this.#lastEventId);
    }
    if (eventStream) {
      this.#eventTracker = new SseEventTracker();
    }
    const answerHeaders: string[] = [];
    for (let i = 0; i + 1 < headers.length; i += 2) {
      answerHeaders.push(headers[i]!, headers[i + 1]!);
    }
    if (this.#announceClose()) {
      answerHeaders.push("Connection", "close");
    }
    this.#closeDelimited = !this.response.useChunkedEncodingByDefault &&
      !hasContentLength(headers);
    this.response.sendDate = false;
    this.#corkForTurn();
    this.response.writeHead(status, answerHeaders);
    this.response.flushHeaders();
  }

  /**
   * Writes what follows together with the parts of the body that arrived with the
   * head, since a write takes much CPU time.
   */
  #corkForTurn(): void {
    const { socket } = this.response;
    if (socket) {
      socket.cork();
      process.nextTick(() => socket.uncork());
    }
  }

  /**
   * Forwards a chunk of the body. Returns false if the caller's socket is
   * congested; more should then be written only after the response's `drain`.
   *
   * Throws {@link OversizedEventError} or {@link UnorderedEventError} if an event
   * cannot be a part of the stream.
   */
  write(chunk: Buffer): boolean {
    this.#eventTracker?.push(chunk);
    if (this.#eventTracker && !this.#eventBuffer) {
      this.#lastChunks = [...this.#lastChunks.slice(-1), chunk];
    }
    const bytes = this.#eventBuffer ? this.#eventBuffer.push(chunk) : chunk;
    return bytes.length === 0 || this.response.write(bytes);
  }

  /**
   * Whether the bytes so far end inside an event of a stream. The endpoint has then
   * broken off, however the answer ended.
   */
  get insideEvent(): boolean {
    return this.#eventTracker?.insideEvent ?? false;
  }

  /** Number of complete events so far; undefined if the answer is no stream. */
  get completeEvents(): number | undefined {
    return this.#eventTracker?.completeEvents;
  }

  /** Describes the answer so far; undefined if none has begun. */
  get report(): AnswerReport | undefined {
    const source = this.#source;
    return source && {
      framing: source.framing,
      connection: source.connectionEnding,
      lastEventId: this.#eventBuffer
        ? this.#eventBuffer.lastEventId
        : lastIdIn(this.#lastChunks),
      isInsideEvent: !this.#eventBuffer && this.insideEvent,
    };
  }

  end(): void {
    const rest = this.#eventBuffer?.flush();
    this.response.end(rest && rest.length > 0 ? rest : undefined);
  }

  /** Discards a partial event; the next endpoint sends that event from its start. */
  prepareResume(): void {
    this.#eventBuffer?.prepareResume();
    this.#eventTracker?.reset();
  }

  /** Closes the caller's connection so that the answer cannot look complete. */
  abort(): void {
    if (this.#closeDelimited) {
      // An orderly close would mark such an answer as complete.
      this.request.socket.resetAndDestroy();
    }
    this.response.destroy();
  }
}

function lastIdIn(chunks: readonly Buffer[]): string | undefined {
  const text = Buffer.concat(chunks).toString("latin1");
  return [...text.matchAll(/^id: ?(.*?)\r?$/gm)].at(-1)?.[1];
}

function hasContentLength(headers: RawHeaders): boolean {
  return headers.some((name, i) =>
    i % 2 === 0 && name.toLowerCase() === "content-length"
  );
}
