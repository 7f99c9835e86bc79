import type {
  AnswerHead,
  AttemptFailure,
  Clock,
  Millis,
  StartAttempt,
} from "@anvildeal/core";
import type { Dispatcher } from "undici";
import type { AnswerWriter } from "./answer_writer.js";
import type { CallDialect, RawHeaders } from "./call_dialect.js";
import type { EndpointConnection } from "./endpoint_connection.js";
import { endToEndHeaders } from "./hop_headers.js";

/** Bytes of an unused answer that are read to keep its connection. */
const MAX_DISCARDED_BYTES = 64 * 1024;

/** What the host has to do for an attempt. */
export interface AttemptListener {
  head(head: AnswerHead): void;
  progress(): void;
  ended(): void;
  failed(failure: AttemptFailure): void;
  /** A kept connection broke before any answer, after this idle time. */
  stale(idleMs: Millis): void;
  /** The connection carries no request any more. */
  done(reusable: boolean): void;
}

type Mode = "pending" | "relaying" | "discarding" | "closed";

/** One request to an endpoint and its answer, on one connection. */
export class EndpointAttempt implements Dispatcher.DispatchHandler {
  readonly effect: StartAttempt;
  readonly #connection: EndpointConnection;
  readonly #dialect: CallDialect;
  readonly #listener: AttemptListener;
  #mode: Mode = "pending";
  #controller: Dispatcher.DispatchController | undefined;
  #writer: AnswerWriter | undefined;
  #status = 0;
  #headers: RawHeaders = [];
  #endsConnection = false;
  #unframed = false;
  #discardedBytes = 0;
  #hasProgress = false;
  /** Monotonic time of the last bytes, or of the start. */
  #heardMs: Millis;
  readonly #clock: Clock;

  constructor(
    effect: StartAttempt,
    connection: EndpointConnection,
    dialect: CallDialect,
    clock: Clock,
    listener: AttemptListener,
  ) {
    this.#clock = clock;
    this.#heardMs = clock.nowMs();
    this.effect = effect;
    this.#connection = connection;
    this.#dialect = dialect;
    this.#listener = listener;
  }

  get heardMs(): Millis {
    return this.#heardMs;
  }

  /** The answer goes to the caller, who takes it as it comes. */
  get flowing(): boolean {
    return this.#mode === "relaying" && this.#hasProgress &&
      !this.#controller?.paused;
  }

  start(writer: AnswerWriter): void {
    const { request, body } = writer;
    const resumePoint = writer.resumePoint;
    const headers = this.#dialect.requestHeaders(
      endToEndHeaders(request.rawHeaders, true),
      this.effect,
      resumePoint,
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

  /** Passes the answer on to the caller. */
  relay(writer: AnswerWriter, close: boolean): void {
    if (this.#mode !== "pending") {
      return;
    }
    this.#mode = "relaying";
    this.#writer = writer;
    writer.begin(
      this.#status,
      [...this.#headers, "Anvildeal-Endpoint", this.effect.endpointId],
      {
        cutEvents: this.effect.resumable && this.#status < 300,
        close,
        unframed: this.#unframed,
      },
    );
  }

  /** Stops using the answer; reads it to its end unless that takes long. */
  discard(closeConnection: boolean): void {
    if (this.#mode === "closed") {
      return;
    }
    this.#mode = "discarding";
    if (closeConnection) {
      this.#close(false);
    } else if (this.#controller?.paused) {
      this.#controller.resume();
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#mode === "closed") {
      controller.abort(new Error("attempt was given up"));
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
    this.#heardMs = this.#clock.nowMs();
    this.#status = status;
    this.#headers = endToEndHeaders(rawHeadersOf(controller, headers), false);
    this.#noteConnection(headers);
    if (this.#mode === "pending") {
      this.#listener.head(this.#dialect.readAnswer(status, headers));
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
    this.#heardMs = this.#clock.nowMs();
    const writer = this.#writer;
    if (this.#mode !== "relaying" || !writer) {
      return;
    }
    if (!this.#hasProgress) {
      this.#hasProgress = true;
      this.#listener.progress();
    }
    if (!writer.write(chunk)) {
      controller.pause();
      writer.response.once("drain", () => controller.resume());
    }
  }

  onResponseEnd(): void {
    if (this.#mode === "closed") {
      return;
    }
    if (this.#connection.failed) {
      this.onResponseError(undefined, new Error("reset before the end"));
      return;
    }
    const relayed = this.#mode === "relaying";
    this.#close(!this.#endsConnection);
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
    const sent = this.#controller !== undefined;
    const { idleBeforeUseMs } = this.#connection;
    if (sent && this.#status === 0 && idleBeforeUseMs !== undefined) {
      this.#listener.stale(idleBeforeUseMs);
    }
    this.#close(false);
    if (!discarding) {
      this.#listener.failed({
        kind: failureKind(error, sent),
        sent,
        detail: error.message,
      });
    }
  }

  #noteConnection(
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    const connection = String(headers["connection"] ?? "").toLowerCase();
    this.#unframed = headers["content-length"] === undefined &&
      headers["transfer-encoding"] === undefined;
    this.#endsConnection = connection.includes("close") || this.#unframed;
    const timeout = /timeout=(\d+)/.exec(String(headers["keep-alive"] ?? ""));
    if (timeout) {
      this.#connection.noteIdleLimit(Number(timeout[1]) * 1000);
    }
  }

  #close(reusable: boolean): void {
    if (this.#mode === "closed") {
      return;
    }
    this.#mode = "closed";
    this.#listener.done(reusable);
  }
}

function failureKind(error: Error, sent: boolean): AttemptFailure["kind"] {
  if (!sent) {
    return "connect";
  }
  const code = (error as { code?: string }).code ?? "";
  return code.startsWith("HPE_") ? "garbled" : "reset";
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
