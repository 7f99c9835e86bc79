import {
  type AnswerFraming,
  type AnswerHead,
  type AttemptFailure,
  canBeContinued,
  type Clock,
  type ConnectionEnding,
  isEventStream,
  type Millis,
  type StartAttempt,
  type StreamHead,
  streamHeadOf,
} from "@anvildeal/core";
import type { Dispatcher } from "undici";
import type { AnswerSource, AnswerWriter } from "./answer_writer.js";
import type { CallDialect, RawHeaders } from "./call_dialect.js";
import type { EndpointConnection } from "./endpoint_connection.js";
import {
  OversizedEventError,
  UnorderedEventError,
} from "./sse_event_buffer.js";
import { endToEndHeaders } from "./hop_headers.js";

/**
 * The rest of a discarded answer is read up to this size, so that the
 * connection can be reused. If the rest is longer, the connection is closed.
 */
const MAX_DISCARDED_BYTES = 64 * 1024;

/**
 * How long after its deadline the endpoint may still send the end of a discarded
 * answer. An endpoint that sends bytes without end would keep the connection.
 */
const DISCARD_MARGIN_MS: Millis = 500;

/** Name of the client library's error for bytes that are no HTTP answer. */
const PARSER_ERROR = "HTTPParserError";

/** Callbacks of an attempt. */
export interface AttemptListener {
  /** The status line and headers of the answer arrived. */
  head(head: AnswerHead): void;
  /** The same for an attempt that was discarded before. */
  discardedHead(head: AnswerHead): void;
  /** The first body bytes of the relayed answer arrived. */
  firstBodyBytes(): void;
  /** The answer was forwarded completely. */
  ended(): void;
  /** The attempt failed before its answer was complete. */
  failed(failure: AttemptFailure): void;
  /**
   * A reused connection, which had been idle for this long, broke before it
   * delivered any part of the answer.
   */
  staleConnection(idleMs: Millis): void;
  /** The attempt no longer uses the connection; another one may if `reusable`. */
  done(reusable: boolean): void;
}

type Mode = "pending" | "relaying" | "discarding" | "closed";

/** One request to an endpoint and its answer, on one connection. */
export class EndpointAttempt
  implements AnswerSource, Dispatcher.DispatchHandler {
  readonly effect: StartAttempt;
  readonly #connection: EndpointConnection;
  readonly #dialect: CallDialect;
  readonly #listener: AttemptListener;
  #mode: Mode = "pending";
  #controller: Dispatcher.DispatchController | undefined;
  #writer: AnswerWriter | undefined;
  /** Its status is 0 until the head of the answer has arrived. */
  #head: StreamHead = { status: 0 };
  #headers: RawHeaders = [];
  #endpointClosesConnection = false;
  #framing: AnswerFraming = "chunks";
  #discardedBytes = 0;
  #hasReceivedBody = false;
  #lastReceivedMs: Millis;
  readonly #clock: Clock;
  readonly #startedMs: Millis;
  #discardTimer: NodeJS.Timeout | undefined;

  constructor(
    effect: StartAttempt,
    connection: EndpointConnection,
    dialect: CallDialect,
    clock: Clock,
    listener: AttemptListener,
  ) {
    this.#clock = clock;
    this.#startedMs = clock.nowMs();
    this.#lastReceivedMs = this.#startedMs;
    this.effect = effect;
    this.#connection = connection;
    this.#dialect = dialect;
    this.#listener = listener;
  }

  /**
   * Monotonic time at which the last bytes of the answer arrived, or at which
   * the attempt was created if none have arrived. Body bytes of a discarded
   * answer do not count.
   */
  get lastReceivedMs(): Millis {
    return this.#lastReceivedMs;
  }

  /** Whether a part of the request may have reached the endpoint. */
  get wasSent(): boolean {
    return this.#controller !== undefined;
  }

  /** Whether an earlier request used the connection of this attempt. */
  get isOnReusedConnection(): boolean {
    return this.#connection.idleBeforeUseMs !== undefined;
  }

  /**
   * Whether the attempt expects more body bytes of an answer that it relays: some
   * have arrived, and reading is not paused by the caller's backpressure.
   */
  get awaitsBodyBytes(): boolean {
    return this.#mode === "relaying" && this.#hasReceivedBody &&
      !this.#controller?.paused;
  }

  get framing(): AnswerFraming {
    return this.#framing;
  }

  get connectionEnding(): ConnectionEnding {
    return this.#connection.ending;
  }

  /** Whether another attempt can continue the answer that is relayed. */
  get canResume(): boolean {
    return this.#writer?.canResume ?? false;
  }

  /** Sends the caller's request to the endpoint. */
  start(writer: AnswerWriter): void {
    const { request, body } = writer;
    const lastEventId = writer.lastEventId;
    const headers = this.#dialect.requestHeaders(
      endToEndHeaders(request.rawHeaders, true),
      this.effect,
      lastEventId,
    );
    try {
      this.#connection.dispatch({
        method: request.method as Dispatcher.HttpMethod,
        path: request.url ?? "/",
        headers,
        body: body.length > 0 ? body : null,
      }, this);
    } catch (error) {
      this.onResponseError(undefined, error as Error);
    }
  }

  /**
   * Starts to forward the answer to the caller. Must be called after
   * {@link AttemptListener.head}.
   */
  relay(writer: AnswerWriter): void {
    if (this.#mode !== "pending") {
      return;
    }
    const { copyTo, endpointId, resumable } = this.effect;
    this.#mode = "relaying";
    this.#writer = writer;
    writer.begin(
      this,
      this.#head.status,
      [...this.#headers, "Anvildeal-Endpoint", endpointId],
      {
        bufferEvents: (resumable || copyTo !== undefined) &&
          canBeContinued(this.#head),
        needsEventIds: !resumable,
        eventStream: isEventStream(this.#head) && this.#head.status < 300,
      },
    );
  }

  /**
   * Stops forwarding the answer. The rest is read and dropped, so that the
   * connection can be reused; if the rest is too long or arrives too long after
   * the endpoint's deadline, the connection is closed.
   *
   * @param closeConnection Whether to close the connection at once instead.
   */
  discard(closeConnection: boolean): void {
    if (this.#mode === "closed") {
      return;
    }
    this.#mode = "discarding";
    if (closeConnection) {
      this.#close(false);
      return;
    }
    this.#discardTimer ??= setTimeout(
      () => this.#close(false),
      this.#startedMs + this.effect.deadlineMs + DISCARD_MARGIN_MS -
        this.#clock.nowMs(),
    );
    if (this.#controller?.paused) {
      this.#controller.resume();
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#mode === "closed") {
      controller.abort(new Error("attempt was discarded before it was sent"));
    }
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    if (status < 200) {
      return;
    }
    this.#lastReceivedMs = this.#clock.nowMs();
    this.#head = streamHeadOf(status, headers);
    this.#headers = endToEndHeaders(rawHeadersOf(controller, headers), false);
    this.#readHeaders(headers);
    const head = {
      ...this.#head,
      ...this.#dialect.readAnswer(status, headers),
      isFirstOnConnection: !this.isOnReusedConnection,
    };
    if (head.notRun) {
      this.#connection.recordRefusal(this.effect.callId);
    }
    if (this.#mode === "pending") {
      this.#listener.head(head);
    } else if (this.#mode === "discarding") {
      this.#listener.discardedHead(head);
    }
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#mode === "discarding") {
      this.#discardedBytes += chunk.length;
      if (this.#discardedBytes > MAX_DISCARDED_BYTES) {
        this.#close(false);
      }
      return;
    }
    this.#lastReceivedMs = this.#clock.nowMs();
    const writer = this.#writer;
    if (this.#mode !== "relaying" || !writer) {
      return;
    }
    if (!this.#hasReceivedBody) {
      this.#hasReceivedBody = true;
      this.#listener.firstBodyBytes();
    }
    try {
      if (!writer.write(chunk)) {
        controller.pause();
        writer.response.once("drain", () => controller.resume());
      }
    } catch (error) {
      this.onResponseError(undefined, error as Error);
    }
  }

  onResponseEnd(): void {
    if (this.#mode === "closed") {
      return;
    }
    const relayed = this.#mode === "relaying";
    if (relayed && this.#writer?.insideEvent) {
      this.onResponseError(
        undefined,
        new Error("the stream ended inside an event"),
      );
      return;
    }
    this.#close(!this.#endpointClosesConnection);
    if (relayed) {
      this.#writer?.end();
      this.#listener.ended();
    }
  }

  onResponseError(
    _controller: Dispatcher.DispatchController | undefined,
    error: Error,
  ): void {
    if (this.#mode === "closed") {
      return;
    }
    const discarding = this.#mode === "discarding";
    const sent = this.wasSent;
    const { idleBeforeUseMs } = this.#connection;
    if (sent && this.#head.status === 0 && idleBeforeUseMs !== undefined) {
      this.#listener.staleConnection(idleBeforeUseMs);
    }
    this.#close(false);
    if (!discarding) {
      this.#listener.failed({
        kind: failureKind(error, sent),
        sent,
        portClosed: !sent && codeOf(error) === "ECONNREFUSED",
        detail: error.message,
      });
    }
  }

  #readHeaders(
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    const connection = String(headers["connection"] ?? "").toLowerCase();
    this.#framing = framingOf(headers);
    this.#endpointClosesConnection = connection.includes("close") ||
      this.#framing === "connection";
    const timeout = /timeout=(\d+)/.exec(String(headers["keep-alive"] ?? ""));
    if (timeout) {
      this.#connection.applyIdleTimeout(Number(timeout[1]) * 1000);
    }
  }

  #close(reusable: boolean): void {
    if (this.#mode === "closed") {
      return;
    }
    this.#mode = "closed";
    clearTimeout(this.#discardTimer);
    this.#listener.done(reusable);
  }
}

function framingOf(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): AnswerFraming {
  if (headers["transfer-encoding"] !== undefined) {
    return "chunks";
  }
  return headers["content-length"] === undefined ? "connection" : "length";
}

function failureKind(error: Error, sent: boolean): AttemptFailure["kind"] {
  if (!sent) {
    return "connect";
  }
  if (
    error instanceof OversizedEventError || error instanceof UnorderedEventError
  ) {
    return "garbled";
  }
  return error.name === PARSER_ERROR ? "garbled" : "reset";
}

function codeOf(error: Error): string {
  return (error as { code?: string }).code ?? "";
}

function rawHeadersOf(
  controller: Dispatcher.DispatchController,
  headers: Readonly<Record<string, string | string[] | undefined>>,
): string[] {
  const raw = controller.rawHeaders;
  if (Array.isArray(raw)) {
    return raw.map((item) => item.toString("latin1"));
  }
  return Object.entries(headers).flatMap(([name, value]) =>
    [value ?? []].flat().flatMap((item) => [name, item])
  );
}
