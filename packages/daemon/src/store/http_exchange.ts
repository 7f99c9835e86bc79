import { ByteParts, type Millis } from "@anvildeal/core";
import type { Dispatcher } from "undici";
import { afterNextPoll } from "../next_poll.js";
import { asBuffer } from "../read_text.js";

export interface HttpRequest {
  readonly origin: string;
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Buffer;
}

export interface HttpResponse {
  readonly status: number;
  /** Names are in lower case. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

/** An exchange failed before its response was complete. */
export class HttpExchangeError extends Error {
  override readonly name = "HttpExchangeError";
  /**
   * Whether the request may have been written to a socket, in whole or part.
   */
  readonly sent: boolean;
  /** Whether the exchange was ended by one of its own time limits. */
  readonly timedOut: boolean;

  constructor(
    message: string,
    details: { sent: boolean; timedOut: boolean; cause?: unknown },
  ) {
    super(message, { cause: details.cause });
    this.sent = details.sent;
    this.timedOut = details.timedOut;
  }
}

export interface HttpExchangeOptions {
  /** Time limit of the whole exchange. */
  readonly timeoutMs: Millis;
  /** Time limit until the head of the response arrives; none if left out. */
  readonly headTimeoutMs?: Millis;
  /**
   * Time limit between two parts of the response body, so that a slow link may
   * take longer for a large body; none if left out.
   */
  readonly bodyIdleTimeoutMs?: Millis;
  /** The exchange fails when the response body is larger than this. */
  readonly maxResponseBytes: number;
  readonly signal?: AbortSignal;
}

/**
 * One HTTP request and its response over an undici dispatcher.
 *
 * A failed write may have been applied only if its request was written to a
 * socket. undici's `request` does not report this. This class detects it by
 * `onRequestStart`, which undici calls before the first byte.
 *
 * A time limit that is over fails the exchange only after the sockets were read
 * once more: timers of a process that was held up run before it reads what has
 * arrived in time.
 */
export class HttpExchange {
  readonly #request: HttpRequest;
  readonly #options: HttpExchangeOptions;
  readonly #body = new ByteParts();
  #controller: Dispatcher.DispatchController | undefined;
  #status = 0;
  #headers: HttpResponse["headers"] = {};
  #headBytes = 0;
  #framingBytes = 0;
  #isChunked = false;
  #settled = false;
  #headTimer: NodeJS.Timeout | undefined;
  #bodyIdleTimer: NodeJS.Timeout | undefined;
  #fail: Fail = () => {};

  constructor(request: HttpRequest, options: HttpExchangeOptions) {
    this.#request = request;
    this.#options = options;
  }

  /**
   * Size of the request on the wire, in bytes; 0 if the request was not
   * written.
   */
  get sentBytes(): number {
    return this.#controller === undefined ? 0 : requestBytes(this.#request);
  }

  /** Size of the received part of the response on the wire, in bytes. */
  get receivedBytes(): number {
    return this.#headBytes + this.#framingBytes + this.#body.bytes;
  }

  /**
   * Sends the request and resolves when the response is complete. Rejects with
   * {@link HttpExchangeError} only. Must be called at most once.
   */
  run(dispatcher: Dispatcher): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      const { headTimeoutMs, signal, timeoutMs } = this.#options;
      const finish = () => {
        this.#settled = true;
        clearTimeout(timer);
        clearTimeout(this.#headTimer);
        clearTimeout(this.#bodyIdleTimer);
        signal?.removeEventListener("abort", onAbort);
      };
      const fail: Fail = (message, cause, timedOut = false) => {
        if (this.#settled) {
          return;
        }
        finish();
        const sent = this.#controller !== undefined;
        const error = new HttpExchangeError(message, { sent, timedOut, cause });
        this.#controller?.abort(error);
        reject(error);
      };
      this.#fail = fail;
      const succeed = () => {
        if (this.#settled) {
          return;
        }
        finish();
        resolve({
          status: this.#status,
          headers: this.#headers,
          body: asBuffer(this.#body.join()),
        });
      };
      const onAbort = () => fail("The call was aborted", signal?.reason);
      const timer = setTimeout(
        () =>
          afterNextPoll(() =>
            fail(`No complete response within ${timeoutMs} ms`, undefined, true)
          ),
        timeoutMs,
      );
      if (headTimeoutMs !== undefined) {
        this.#headTimer = setTimeout(
          () =>
            afterNextPoll(() =>
              this.failIfUnanswered(
                `No response within ${headTimeoutMs} ms`,
                true,
              )
            ),
          headTimeoutMs,
        );
      }
      if (signal?.aborted) {
        onAbort();
        return;
      }
      signal?.addEventListener("abort", onAbort);
      try {
        dispatcher.dispatch(this.#request, this.#handler(succeed, fail));
      } catch (cause) {
        fail("The request was rejected by the HTTP client", cause);
      }
    });
  }

  /** Fails the exchange unless its response has begun to arrive. */
  failIfUnanswered(reason: string, timedOut = false): void {
    if (this.#status === 0) {
      this.#fail(reason, undefined, timedOut);
    }
  }

  #restartBodyIdleTimer(fail: Fail): void {
    const { bodyIdleTimeoutMs } = this.#options;
    clearTimeout(this.#bodyIdleTimer);
    if (bodyIdleTimeoutMs !== undefined && !this.#settled) {
      const timer = setTimeout(
        () =>
          afterNextPoll(() => {
            if (timer === this.#bodyIdleTimer) {
              fail(
                `No part of the response within ${bodyIdleTimeoutMs} ms`,
                undefined,
                true,
              );
            }
          }),
        bodyIdleTimeoutMs,
      );
      this.#bodyIdleTimer = timer;
    }
  }

  #handler(
    succeed: () => void,
    fail: Fail,
  ): Dispatcher.DispatchHandler {
    return {
      onRequestStart: (controller) => {
        // A request that has already failed must not be written. A request
        // that was written must not be written again by a retry of undici: the
        // response to the second write would hide the effect of the first.
        if (this.#settled || this.#controller !== undefined) {
          const error = new Error(
            "The request has already failed or was sent before",
          );
          controller.abort(error);
          fail("The connection was closed before the response", error);
          return;
        }
        this.#controller = controller;
      },
      onResponseStart: (controller, status, headers, statusMessage = "") => {
        clearTimeout(this.#headTimer);
        this.#restartBodyIdleTimer(fail);
        this.#status = status;
        this.#headers = headers;
        this.#isChunked = headers["transfer-encoding"] === "chunked";
        this.#headBytes += responseHeadBytes(
          statusMessage,
          controller.rawHeaders,
        );
      },
      onResponseData: (_controller, chunk) => {
        this.#restartBodyIdleTimer(fail);
        this.#body.add(chunk);
        if (this.#isChunked) {
          this.#framingBytes += chunk.length.toString(16).length +
            CHUNK_LINE_ENDS_BYTES;
        }
        if (this.#body.bytes > this.#options.maxResponseBytes) {
          fail("The response exceeds the size limit");
        }
      },
      onResponseEnd: () => {
        this.#framingBytes += this.#isChunked ? LAST_CHUNK_BYTES : 0;
        succeed();
      },
      onResponseError: (_controller, cause) => fail(cause.message, cause),
    };
  }
}

/** Ends an exchange with an error. */
type Fail = (message: string, cause?: unknown, timedOut?: boolean) => void;

/**
 * Bytes of the two CRLFs of a chunk: one after its size and one after its data.
 */
const CHUNK_LINE_ENDS_BYTES = 4;

/** Bytes of the last chunk: "0" and two CRLFs. */
const LAST_CHUNK_BYTES = 5;

/** Size of the head and body that undici writes for an HTTP/1.1 request. */
function requestBytes(request: HttpRequest): number {
  const host = new URL(request.origin).host;
  const lines = [
    `${request.method} ${request.path} HTTP/1.1`,
    `host: ${host}`,
    "connection: keep-alive",
    ...Object.entries(request.headers).map(([key, value]) =>
      `${key}: ${value}`
    ),
  ];
  if (request.body !== undefined) {
    lines.push(`content-length: ${request.body.length}`);
  }
  const head = `${lines.join("\r\n")}\r\n\r\n`;
  return Buffer.byteLength(head, "latin1") + (request.body?.length ?? 0);
}

function responseHeadBytes(
  statusMessage: string,
  rawHeaders: Dispatcher.DispatchController["rawHeaders"],
): number {
  let bytes = "HTTP/1.1 200 \r\n\r\n".length + statusMessage.length;
  if (Array.isArray(rawHeaders)) {
    // Names and values alternate; each is followed by ": " or "\r\n".
    for (const part of rawHeaders) {
      bytes += part.length + 2;
    }
  }
  return bytes;
}
