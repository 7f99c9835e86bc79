import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Server as NetServer, Socket } from "node:net";
import type { CallerLimits, Millis } from "@anvildeal/core";
import { listen } from "../listen.js";
import { type Disposable, Emitter } from "../net/index.js";

/** Larger headers are refused by the parser before they are read whole. */
const MAX_HEADER_BYTES = 256 * 1024;

/** Bytes of a body that are held before the limits are known. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Interval at which slow headers are looked for. */
const SLOW_CHECK_INTERVAL_MS: Millis = 500;

/** Idle connections are kept this much longer than callers may use them. */
const IDLE_MARGIN_MS: Millis = 1000;

const INITIAL_IDLE_MS: Millis = 30_000;

/** Answers to bytes that are no request, by the parser's error code. */
const PARSE_ERROR_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

/** A request that was read whole. */
export interface EdgeCall {
  readonly key: number;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
}

export interface EdgeCallerError {
  readonly code: string;
  readonly status: string;
}

/** A listening server and the connections that it has accepted, unread. */
export interface EarlyConnections {
  readonly server: NetServer;
  readonly sockets: Socket[];
}

/** HTTP server for callers: reads requests whole. */
export class EdgeServer implements Disposable {
  readonly #server: Server;
  readonly #onCall = new Emitter<EdgeCall>();
  readonly #onGone = new Emitter<number>();
  readonly #onCallerError = new Emitter<EdgeCallerError>();
  readonly #answering = new Map<Socket, number>();
  #maxBodyBytes = DEFAULT_MAX_BODY_BYTES;
  #nextKey = 1;
  #closing = false;

  readonly onCall = this.#onCall.event;
  /** Fires when a caller closes before its answer is whole. */
  readonly onGone = this.#onGone.event;
  readonly onCallerError = this.#onCallerError.event;

  constructor() {
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: 0,
      headersTimeout: INITIAL_IDLE_MS,
      keepAliveTimeout: INITIAL_IDLE_MS,
      connectionsCheckingInterval: SLOW_CHECK_INTERVAL_MS,
      noDelay: true,
    }, (request, response) => this.#receive(request, response));
    this.#server.on(
      "clientError",
      (error: NodeJS.ErrnoException, socket: Socket) =>
        this.#answerParseError(error, socket),
    );
  }

  /** Whether answers ask callers to close their connection. */
  get closing(): boolean {
    return this.#closing;
  }

  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  /** Serves the callers of a server that listens already. */
  async takeOver({ server, sockets }: EarlyConnections): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(server, () => resolve());
    });
    for (const socket of sockets.splice(0)) {
      this.#server.emit("connection", socket);
      socket.resume();
    }
  }

  applyLimits(limits: CallerLimits): void {
    this.#maxBodyBytes = limits.maxBodyBytes;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    // A connection may stay idle before its first request as well.
    this.#server.headersTimeout = limits.headerTimeoutMs +
      limits.idleTimeoutMs;
  }

  /** Asks callers to close their connections after their next answer. */
  stopKeepAlive(): void {
    this.#closing = true;
  }

  /** Takes no new connections and closes those without a request. */
  closeIdle(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
    this.#onCall.dispose();
    this.#onGone.dispose();
    this.#onCallerError.dispose();
  }

  #receive(request: IncomingMessage, response: ServerResponse): void {
    const key = this.#nextKey++;
    const { socket } = request;
    this.#answering.set(socket, (this.#answering.get(socket) ?? 0) + 1);
    response.once("finish", () => {
      // Answers that began before the stop did not ask the caller to close.
      if (this.#closing) {
        socket.end();
      }
    });
    let delivered = false;
    response.once("close", () => {
      this.#release(socket);
      if (delivered && !response.writableFinished) {
        this.#onGone.fire(key);
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
        response.writeHead(413, { "connection": "close" }).end();
      }
    });
    request.on("error", () => {
      // The response's close event tells of the caller that left.
    });
    request.once("end", () => {
      if (bytes > this.#maxBodyBytes) {
        return;
      }
      delivered = true;
      const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
      this.#onCall.fire({ key, request, response, body });
    });
  }

  #release(socket: Socket): void {
    const rest = (this.#answering.get(socket) ?? 1) - 1;
    if (rest > 0) {
      this.#answering.set(socket, rest);
    } else {
      this.#answering.delete(socket);
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
    // Bytes written beside an answer in progress would become part of it.
    if (this.#answering.has(socket)) {
      socket.destroy();
      return;
    }
    socket.end(
      `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}
