import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import type {
  CallerLimits,
  Clock,
  DirectRefusalReason,
  Millis,
} from "@anvildeal/core";
import {
  accountBytes,
  announcesTooLargeBody,
  BodyError,
  BOUNDED_MESSAGES,
  CallerMemory,
  chooseConnection,
  type ReportedEviction,
} from "../caller_memory/index.js";
import { ConnectionCloser } from "../connection_closer.js";
import { ConnectionCounter } from "../connection_counter.js";
import { listen } from "../listen.js";
import { type Disposable, Emitter } from "../net/index.js";
import { afterNextPoll } from "../next_poll.js";
import { EdgeConnection, EdgeRequest } from "./edge_connection.js";

/**
 * Limit of the HTTP parser. It refuses a larger header section before it has
 * read all of it.
 */
const MAX_HEADER_BYTES = 256 * 1024;

/** The parser's limit is not lower than this, which is twice the users' limit. */
const MIN_HEADER_BYTES = 32 * 1024;

/** Largest request body until the configured limits are known. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Memory for what callers send if the options give none. */
const DEFAULT_CALLER_MEMORY_BYTES = 64 * 1024 * 1024;

/** Unanswered requests on a connection if the options give no maximum. */
const DEFAULT_MAX_PIPELINED_REQUESTS = 32;

/** What a request takes without its body: an ordinary head and the objects for it. */
const REQUEST_BYTES = 4 * 1024;

/**
 * Number of requests of one connection that run at once. More would let a caller
 * that reads no answers take a connection to an endpoint with each request.
 */
const MAX_RUNNING_PER_CONNECTION = 4;

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
  /** Time for which the event loop then read from all sockets once more. */
  readonly lagMs: Millis;
}

/** Bytes from a caller that are not a valid request, and what it was told. */
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

/** A request whose body was not read, and which does not run. */
export interface EdgeRefusal {
  readonly key: number;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly reason: DirectRefusalReason;
}

/** Bounds of the server and what it calls. */
export interface EdgeServerOptions {
  /** Memory for what callers send; see {@link accountBytes}. */
  readonly callerMemoryBytes?: number;
  /** Maximum number of requests on a connection whose answers are not taken. */
  readonly maxPipelinedRequests?: number;
  /** Maximum number of callers' connections; unlimited if absent. */
  readonly maxConnections?: number;
  /** Returns why a request is refused whatever its body is, if it is. */
  readonly headRefusal?: (
    request: IncomingMessage,
  ) => DirectRefusalReason | undefined;
  readonly onEvict?: (eviction: ReportedEviction) => void;
}

/**
 * HTTP server for callers: emits each request after its whole body was read. Bounds
 * what callers can make it hold: memory, connections and unanswered requests.
 */
export class EdgeServer implements Disposable {
  readonly #server: Server;
  readonly #onCall = new Emitter<EdgeCall>();
  readonly #onDisconnect = new Emitter<number>();
  readonly #onCallerError = new Emitter<EdgeCallerError>();
  /** Open connections, from the oldest to the newest. */
  readonly #edgeConnections = new Map<Socket, EdgeConnection>();
  readonly #onRefusal = new Emitter<EdgeRefusal>();
  readonly #options: EdgeServerOptions;
  readonly #memory: CallerMemory;
  readonly #callerMemoryBytes: number;
  readonly #maxPipelinedRequests: number;
  readonly #maxConnections: number;
  #openAnswerCount = 0;
  #runningCount = 0;
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
  /** Fires for a request that is to be refused although its body was not read. */
  readonly onRefusal = this.#onRefusal.event;
  /** Fires when a caller sent bytes that are not a valid request. */
  readonly onCallerError = this.#onCallerError.event;

  constructor(clock: Clock, options: EdgeServerOptions = {}) {
    this.#clock = clock;
    this.#options = options;
    this.#callerMemoryBytes = options.callerMemoryBytes ??
      DEFAULT_CALLER_MEMORY_BYTES;
    this.#maxPipelinedRequests = options.maxPipelinedRequests ??
      DEFAULT_MAX_PIPELINED_REQUESTS;
    this.#maxConnections = options.maxConnections ?? Infinity;
    this.#memory = new CallerMemory({
      maxBytes: accountBytes(this.#callerMemoryBytes, this.#maxBodyBytes),
      onEvict: (eviction) =>
        options.onEvict?.({ ...eviction, reason: "memory" }),
    });
    this.#server = createServer({
      ...BOUNDED_MESSAGES,
      maxHeaderSize: this.#maxHeaderBytes(),
      requestTimeout: 0,
      headersTimeout: INITIAL_IDLE_TIMEOUT_MS,
      keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS,
      connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
      noDelay: true,
    }, (request, response) => this.#handleRequest(request, response, false));
    this.#server.on(
      "clientError",
      (error: NodeJS.ErrnoException, socket: Socket) =>
        this.#answerParseError(error, socket),
    );
    this.#server.on(
      "checkContinue",
      (request: IncomingMessage, response: ServerResponse) =>
        this.#handleRequest(request, response, true),
    );
    this.#server.on(
      "connection",
      (socket: Socket) => this.#addConnection(socket),
    );
    this.#connections = new ConnectionCounter(this.#server);
  }

  /** Heads that arrive are kept by the parser, at worst one on each connection. */
  #maxHeaderBytes(): number {
    const bytes = Math.floor(this.#callerMemoryBytes / this.#maxConnections);
    return this.#maxConnections === Infinity
      ? MAX_HEADER_BYTES
      : Math.min(MAX_HEADER_BYTES, Math.max(MIN_HEADER_BYTES, bytes));
  }

  /** Bytes held for callers. */
  get heldBytes(): number {
    return this.#memory.heldBytes;
  }

  /** Number of open connections of callers. */
  get connectionCount(): number {
    return this.#connections.openCount;
  }

  /** Number of requests that have arrived whose answer a caller has not taken whole. */
  get openAnswerCount(): number {
    return this.#openAnswerCount;
  }

  /** Whether a request has arrived whose answer a caller has not taken whole. */
  get hasOpenAnswers(): boolean {
    return this.#openAnswerCount > 0;
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
    this.#memory.setMaxBytes(
      accountBytes(this.#callerMemoryBytes, limits.maxBodyBytes),
    );
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
    this.#onRefusal.dispose();
    this.#onCallerError.dispose();
  }

  /** Records a connection, and closes one if there are too many. */
  #addConnection(socket: Socket): void {
    if (socket.destroyed) {
      return;
    }
    this.#edgeConnections.set(socket, new EdgeConnection(socket));
    socket.once("close", () => this.#removeConnection(socket));
    if (this.#edgeConnections.size > this.#maxConnections) {
      const chosen = chooseConnection([...this.#edgeConnections.values()]);
      this.#closeConnection(chosen!, "connections");
    }
  }

  #removeConnection(socket: Socket): void {
    const connection = this.#edgeConnections.get(socket);
    this.#edgeConnections.delete(socket);
    // The close event of a response is emitted only for the first in the pipeline.
    [...connection?.requests ?? []].forEach((each) => this.#end(each));
  }

  #closeConnection(
    connection: EdgeConnection,
    reason: ReportedEviction["reason"],
  ): void {
    this.#options.onEvict?.({
      reason,
      address: connection.address,
      heldBytes: connection.heldBytes,
      totalBytes: this.#memory.heldBytes,
    });
    connection.socket.destroy();
    this.#removeConnection(connection.socket);
  }

  #handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): void {
    const connection = this.#edgeConnections.get(request.socket);
    // The parser emits all requests of one read, also after the connection was closed.
    if (!connection || !this.#closer.accept(request, response)) {
      return;
    }
    if (connection.requests.length >= this.#maxPipelinedRequests) {
      this.#closeConnection(connection, "pipelining");
      return;
    }
    const edgeRequest = this.#open(request, response, connection);
    if (!edgeRequest.holding.grow(requestBytes(request))) {
      this.#refuseForMemory(edgeRequest);
      return;
    }
    if (announcesTooLargeBody(request, this.#maxBodyBytes)) {
      this.#refuseLength(edgeRequest);
      return;
    }
    if (expectsContinue) {
      if (this.#refuseByHead(edgeRequest)) {
        return;
      }
      response.writeContinue();
    }
    edgeRequest.reader.read().then(
      (body) => this.#handleBody(edgeRequest, body),
      (error: unknown) => this.#handleBodyError(edgeRequest, error),
    );
    if (hasBody(request)) {
      // The body of most requests is read with the head, and complete by then.
      setImmediate(() => this.#refuseByHead(edgeRequest));
    }
  }

  #open(
    request: IncomingMessage,
    response: ServerResponse,
    connection: EdgeConnection,
  ): EdgeRequest {
    const edgeRequest: EdgeRequest = new EdgeRequest(
      this.#nextKey++,
      request,
      response,
      connection,
      this.#memory.open(
        connection.address,
        () => this.#refuseForMemory(edgeRequest),
      ),
      this.#maxBodyBytes,
    );
    connection.add(edgeRequest);
    this.#openAnswerCount++;
    response.once("close", () => this.#end(edgeRequest));
    request.on("error", () => {
      // The response's close event reports the disconnect.
    });
    return edgeRequest;
  }

  /** Ends a request whose caller has taken the answer or has gone. */
  #end(edgeRequest: EdgeRequest): void {
    const { connection, holding, key, phase, reader, response } = edgeRequest;
    if (!connection.remove(edgeRequest)) {
      return;
    }
    this.#openAnswerCount--;
    edgeRequest.phase = "ended";
    holding.close();
    reader.cancel();
    if (phase === "passed_on") {
      connection.runningCount--;
      this.#runningCount--;
      if (!response.writableFinished) {
        this.#onDisconnect.fire(key);
      }
    }
    this.#passOnWaiting(connection);
  }

  /**
   * Refuses a request that has not run. Its connection is then closed, unless
   * another request has arrived on it, which could run and not be answered.
   */
  #refuseForMemory(edgeRequest: EdgeRequest): void {
    const { connection, phase, response } = edgeRequest;
    if (phase === "reading" || phase === "waiting") {
      if (connection.requests.at(-1) === edgeRequest) {
        this.#closer.close(response);
        response.shouldKeepAlive = false;
      }
      this.#refuse(edgeRequest, "caller_memory");
    }
  }

  /** Refuses a request that has not run; the rest of its body is not kept. */
  #refuse(edgeRequest: EdgeRequest, reason: DirectRefusalReason): void {
    const { key, request, response } = edgeRequest;
    this.#drop(edgeRequest);
    this.#onRefusal.fire({ key, request, response, reason });
    dropHead(request);
  }

  /**
   * Drops what was read of a request. The rest of a body of an allowed length is
   * read, since its caller could otherwise get a reset instead of the answer.
   */
  #drop(edgeRequest: EdgeRequest): void {
    const { connection, holding, reader, request } = edgeRequest;
    edgeRequest.phase = "refused";
    edgeRequest.body = undefined;
    holding.shrink(Math.max(0, holding.heldBytes - REQUEST_BYTES));
    reader.cancel();
    let bytes = 0;
    request.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      holding.drop(chunk.length);
      if (bytes > this.#maxBodyBytes) {
        connection.socket.destroy();
      }
    });
    request.resume();
  }

  /** Refuses a request whose head does not allow it; returns whether it did. */
  #refuseByHead(edgeRequest: EdgeRequest): boolean {
    const { phase, request } = edgeRequest;
    const reason = phase === "reading"
      ? this.#options.headRefusal?.(request)
      : undefined;
    if (reason !== undefined) {
      this.#refuse(edgeRequest, reason);
    }
    return reason !== undefined;
  }

  #refuseLength(edgeRequest: EdgeRequest): void {
    const { request, response } = edgeRequest;
    this.#drop(edgeRequest);
    this.#closer.close(response);
    response.writeHead(413, { "connection": "close" }).end();
    dropHead(request);
  }

  #handleBodyError(edgeRequest: EdgeRequest, error: unknown): void {
    const failure = error instanceof BodyError ? error.failure : undefined;
    if (edgeRequest.phase !== "reading" || failure === "disconnected") {
      // The response's close event reports the disconnect.
      return;
    }
    if (failure === "too_large") {
      this.#refuseLength(edgeRequest);
    } else {
      this.#refuseForMemory(edgeRequest);
    }
  }

  #handleBody(edgeRequest: EdgeRequest, body: Buffer): void {
    if (edgeRequest.phase !== "reading") {
      return;
    }
    edgeRequest.phase = "waiting";
    edgeRequest.body = body;
    const readMs = this.#readMs();
    let lagMs = 0;
    const passOn = () => this.#passOn(edgeRequest, readMs, lagMs);
    // A request that waited to be read, while the process was held up, may be
    // followed by the close of its connection, which is read after it.
    afterNextPoll(() => {
      const { connection } = edgeRequest;
      lagMs = this.#clock.nowMs() - readMs;
      connection.waiting.push(passOn);
      this.#passOnWaiting(connection);
    });
  }

  /** Passes on the requests that wait on a connection, as far as they may run. */
  #passOnWaiting(connection: EdgeConnection): void {
    while (connection.waiting.length > 0 && this.#mayPassOn(connection)) {
      connection.waiting.shift()!();
    }
  }

  /** The first request of a connection always runs; the connections are bounded. */
  #mayPassOn({ runningCount }: EdgeConnection): boolean {
    return runningCount === 0 ||
      runningCount < MAX_RUNNING_PER_CONNECTION &&
        this.#runningCount < this.#maxConnections;
  }

  #passOn(edgeRequest: EdgeRequest, readMs: Millis, lagMs: Millis): void {
    const { body, connection, holding, key, request, response } = edgeRequest;
    if (body === undefined || edgeRequest.isGone) {
      return;
    }
    edgeRequest.phase = "passed_on";
    edgeRequest.body = undefined;
    holding.pin();
    connection.runningCount++;
    this.#runningCount++;
    this.#onCall.fire({ key, request, response, body, readMs, lagMs });
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

  #answerParseError(error: NodeJS.ErrnoException, socket: Socket): void {
    const code = error.code ?? "unknown";
    if (code === "ECONNRESET" || !socket.writable) {
      socket.destroy();
      return;
    }
    const status = PARSE_ERROR_STATUS[code] ?? "400 Bad Request";
    this.#onCallerError.fire({ code, status });
    // Bytes written while an answer is in progress would become part of it.
    if ((this.#edgeConnections.get(socket)?.requests.length ?? 0) > 0) {
      socket.destroy();
      return;
    }
    socket.end(
      `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}

/** What a request takes without its body; the lines of a head are kept twice. */
function requestBytes({ rawHeaders, url = "" }: IncomingMessage): number {
  const headBytes = rawHeaders.reduce(
    (sum, text) => sum + text.length,
    url.length,
  );
  return Math.max(REQUEST_BYTES, 2 * headBytes);
}

/** Drops the head of a refused request, whose answer its caller may never take. */
function dropHead(request: IncomingMessage): void {
  request.rawHeaders = [];
  request.headers = {};
  request.url = "";
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}
