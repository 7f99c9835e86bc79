import type { Millis } from "@anvildeal/core";
import type { Dispatcher } from "undici";

export interface HttpRequest {
  readonly origin: string;
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Buffer;
}

export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
}

/** Why an exchange ended without a complete response. */
export class HttpExchangeError extends Error {
  override readonly name = "HttpExchangeError";
  /** Whether any byte of the request may have left this process. */
  readonly sent: boolean;
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
  readonly timeoutMs: Millis;
  readonly maxResponseBytes: number;
  readonly signal?: AbortSignal;
}

/**
 * One request and its response on a dispatcher.
 *
 * undici's `request` does not tell whether a failed request was written to a
 * socket, which decides whether a write may have been applied. The dispatch
 * handler learns it from `onRequestStart`, which precedes the first byte.
 */
export class HttpExchange {
  readonly #request: HttpRequest;
  readonly #options: HttpExchangeOptions;
  readonly #body: Buffer[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #status = 0;
  #bodyBytes = 0;
  #headBytes = 0;
  #framingBytes = 0;
  #isChunked = false;
  #settled = false;

  constructor(request: HttpRequest, options: HttpExchangeOptions) {
    this.#request = request;
    this.#options = options;
  }

  /** Bytes of the request on the wire; 0 if it was never written. */
  get sentBytes(): number {
    return this.#controller === undefined ? 0 : requestBytes(this.#request);
  }

  /** Bytes of the response on the wire that were received so far. */
  get receivedBytes(): number {
    return this.#headBytes + this.#framingBytes + this.#bodyBytes;
  }

  /** Rejects with {@link HttpExchangeError} only. Can be called once. */
  run(dispatcher: Dispatcher): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      const { signal, timeoutMs } = this.#options;
      const finish = () => {
        this.#settled = true;
        clearTimeout(timer);
        signal?.removeEventListener("abort", onAbort);
      };
      const fail = (message: string, cause?: unknown, timedOut = false) => {
        if (this.#settled) {
          return;
        }
        finish();
        const sent = this.#controller !== undefined;
        const error = new HttpExchangeError(message, { sent, timedOut, cause });
        this.#controller?.abort(error);
        reject(error);
      };
      const succeed = () => {
        if (this.#settled) {
          return;
        }
        finish();
        resolve({ status: this.#status, body: Buffer.concat(this.#body) });
      };
      const onAbort = () => fail("The call was aborted", signal?.reason);
      const timer = setTimeout(
        () =>
          fail(`No complete answer within ${timeoutMs} ms`, undefined, true),
        timeoutMs,
      );
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

  #handler(
    succeed: () => void,
    fail: (message: string, cause?: unknown) => void,
  ): Dispatcher.DispatchHandler {
    return {
      onRequestStart: (controller) => {
        // A request that was already given up must not be written. One that
        // was written once must not be written again: the second answer to a
        // write would hide the effect of the first.
        if (this.#settled || this.#controller !== undefined) {
          const error = new Error("The request is no longer wanted");
          controller.abort(error);
          fail("The connection was lost", error);
          return;
        }
        this.#controller = controller;
      },
      onResponseStart: (controller, status, headers, statusMessage = "") => {
        this.#status = status;
        this.#isChunked = headers["transfer-encoding"] === "chunked";
        this.#headBytes += responseHeadBytes(
          statusMessage,
          controller.rawHeaders,
        );
      },
      onResponseData: (_controller, chunk) => {
        this.#body.push(chunk);
        this.#bodyBytes += chunk.length;
        if (this.#isChunked) {
          this.#framingBytes += chunk.length.toString(16).length +
            CHUNK_LINE_ENDS_BYTES;
        }
        if (this.#bodyBytes > this.#options.maxResponseBytes) {
          fail("The answer exceeds the size limit");
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

/** Line ends after the size and after the data of a chunk. */
const CHUNK_LINE_ENDS_BYTES = 4;

/** "0" and two line ends. */
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
