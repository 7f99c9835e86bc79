import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import type { CallerLimits, Clock, Millis } from "@anvildeal/core";
import { ConnectionCloser } from "../connection_closer.js";
import { ConnectionCounter } from "../connection_counter.js";
import { listen } from "../listen.js";
import { type Disposable, Emitter } from "../net/index.js";
import { afterNextPoll } from "../next_poll.js";

/**
 * Limit of the HTTP parser. It refuses a larger header section before it has
 * read all of it.
 */
const MAX_HEADER_BYTES = 256 * 1024;

/** Largest request body until the configured limits are known. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Interval of the check for connections that exceed the header timeout. */
const HEADER_CHECK_INTERVAL_MS: Millis = 500;

/**
 * The server keeps an idle connection open for this much longer than the idle
 * timeout that callers know. Otherwise a caller could send a request on a
 * connection that the server is closing.
 */
const IDLE_MARGIN_MS: Millis = 1000;

const INITIAL_IDLE_TIMEOUT_MS: Millis = 30_000;

/** Status of the answer to bytes that are not a valid request, by parser error. */
const PARSE_ERROR_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

/** A request whose body was read completely. */
export interface EdgeCall {
  /** Unique among the requests of this server. */
  readonly key: number;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  /**
   * When the first request was read in the turn of the event loop in which this one
   * was. Its connection had something to read by then.
   */
  readonly readMs: Millis;
}

export interface EdgeCallerError {
  /** Error code of the HTTP parser, or `unknown`. */
  readonly code: string;
  /** Status code and reason phrase of the answer. */
  readonly status: string;
}

/** A listening server and accepted connections from which nothing has been read. */
export interface EarlyConnections {
  readonly server: NetServer;
  readonly sockets: Socket[];
}

/** HTTP server for callers: emits each request after its whole body was read. */
export class EdgeServer implements Disposable {
  readonly #server: Server;
  readonly #onCall = new Emitter<EdgeCall>();
  readonly #onDisconnect = new Emitter<number>();
  readonly #onCallerError = new Emitter<EdgeCallerError>();
  /** Number of answers in progress, by connection. */
  readonly #openAnswers = new Map<Socket, number>();
  readonly #closer = new ConnectionCloser();
  readonly #connections: ConnectionCounter;
  readonly #clock: Clock;
  #maxBodyBytes = DEFAULT_MAX_BODY_BYTES;
  #nextKey = 1;
  /** When the first request of this turn of the event loop was read. */
  #turnReadMs: Millis | undefined;

  readonly onCall = this.#onCall.event;
  /** Fires with the request's key if a caller disconnects before its answer ends. */
  readonly onDisconnect = this.#onDisconnect.event;
  /** Fires when a caller sent bytes that are not a valid request. */
  readonly onCallerError = this.#onCallerError.event;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: 0,
      headersTimeout: INITIAL_IDLE_TIMEOUT_MS,
      keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS,
      connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
      noDelay: true,
    }, (request, response) => this.#handleRequest(request, response));
    this.#server.on(
      "clientError",
      (error: NodeJS.ErrnoException, socket: Socket) =>
        this.#answerParseError(error, socket),
    );
    this.#connections = new ConnectionCounter(this.#server);
  }

  /** Number of open connections of callers. */
  get connectionCount(): number {
    return this.#connections.openCount;
  }

  /** Number of requests that have arrived whose answer a caller has not taken whole. */
  get openAnswerCount(): number {
    return [...this.#openAnswers.values()].reduce((sum, n) => sum + n, 0);
  }

  /** Whether a request has arrived whose answer a caller has not taken whole. */
  get hasOpenAnswers(): boolean {
    return this.#openAnswers.size > 0;
  }

  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  /** Serves the connections of a server that already listens; empties `sockets`. */
  async adopt({ server, sockets }: EarlyConnections): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(server, () => resolve());
    });
    for (const socket of sockets.splice(0)) {
      this.#server.emit("connection", socket);
      socket.resume();
    }
  }

  /** Applies configured limits to connections and requests from now on. */
  applyLimits(limits: CallerLimits): void {
    this.#maxBodyBytes = limits.maxBodyBytes;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    // The header timeout starts when a connection opens, so it must include the
    // time for which the connection may stay idle before its first request.
    this.#server.headersTimeout = limits.headerTimeoutMs +
      limits.idleTimeoutMs;
  }

  /**
   * Closes each connection after the next answer whose head is not yet written,
   * which tells its caller so.
   */
  stopKeepAlive(): void {
    this.#closer.stop();
  }

  /**
   * Whether the answer whose head is written next must ask its caller to close
   * the connection; see {@link ConnectionCloser.announce}.
   */
  announceClose(response: ServerResponse): boolean {
    return this.#closer.announce(response);
  }

  /**
   * Stops listening when all connections that callers have opened are accepted, or
   * after `maxMs`. They stay open, also those without a request.
   */
  async stopListening(maxMs: Millis): Promise<void> {
    await this.#connections.untilAccepted(maxMs);
    // The method of the HTTP server would close idle connections as well.
    NetServer.prototype.close.call(this.#server);
  }

  /** Closes the connections without a request. */
  closeIdle(): void {
    this.#server.closeIdleConnections();
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
    this.#onCall.dispose();
    this.#onDisconnect.dispose();
    this.#onCallerError.dispose();
  }

  #handleRequest(request: IncomingMessage, response: ServerResponse): void {
    if (!this.#closer.accept(request, response)) {
      return;
    }
    const key = this.#nextKey++;
    const { socket } = request;
    this.#openAnswers.set(socket, (this.#openAnswers.get(socket) ?? 0) + 1);
    let callEmitted = false;
    response.once("close", () => {
      this.#removeOpenAnswer(socket);
      if (callEmitted && !response.writableFinished) {
        this.#onDisconnect.fire(key);
      }
    });
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= this.#maxBodyBytes) {
        chunks.push(chunk);
      } else if (!response.headersSent) {
        chunks.length = 0;
        this.#closer.close(response);
        response.writeHead(413, { "connection": "close" }).end();
      }
    });
    request.on("error", () => {
      // The response's close event reports the disconnect.
    });
    request.once("end", () => {
      if (bytes > this.#maxBodyBytes) {
        return;
      }
      const readMs = this.#readMs();
      const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
      // A request that waited to be read, while the process was held up, may be
      // followed by the close of its connection, which is read after it.
      afterNextPoll(() => {
        if (response.closed || socket.destroyed || socket.readableEnded) {
          return;
        }
        callEmitted = true;
        this.#onCall.fire({ key, request, response, body, readMs });
      });
    });
  }

  /**
   * Time of the first call of this method in a turn of the event loop: all sockets
   * that are read in a turn had something to read when it began.
   */
  #readMs(): Millis {
    if (this.#turnReadMs === undefined) {
      this.#turnReadMs = this.#clock.nowMs();
      setImmediate(() => this.#turnReadMs = undefined);
    }
    return this.#turnReadMs;
  }

  #removeOpenAnswer(socket: Socket): void {
    const remaining = (this.#openAnswers.get(socket) ?? 1) - 1;
    if (remaining > 0) {
      this.#openAnswers.set(socket, remaining);
    } else {
      this.#openAnswers.delete(socket);
    }
  }

  #answerParseError(error: NodeJS.ErrnoException, socket: Socket): void {
    const code = error.code ?? "unknown";
    if (code === "ECONNRESET" || !socket.writable) {
      socket.destroy();
      return;
    }
    const status = PARSE_ERROR_STATUS[code] ?? "400 Bad Request";
    this.#onCallerError.fire({ code, status });
    // Bytes written while an answer is in progress would become part of it.
    if (this.#openAnswers.has(socket)) {
      socket.destroy();
      return;
    }
    socket.end(
      `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}
