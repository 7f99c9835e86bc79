import { randomBytes } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type {
  CallerRequest,
  ErrorAnswer,
  Millis,
  PrefixHasher,
} from "@anvildeal/core";
import {
  announcesTooLargeBody,
  BOUNDED_MESSAGES,
  type CallerMemory,
  chooseConnection,
  discardBody,
  type ReportedEviction,
} from "../caller_memory/index.js";
import { ConnectionCloser } from "../connection_closer.js";
import { ConnectionCounter } from "../connection_counter.js";
import { type Disposable, Emitter } from "../net/index.js";
import { nextPoll } from "../next_poll.js";
import { CallerConnection, OpenRequest } from "./caller_connection.js";
import { CallerError } from "./caller_error.js";
import {
  keyHashOf,
  parseChatRequest,
  parseServiceRequest,
  type RequestHead,
} from "./parse_request.js";
import { bodyTooLargeError, noMemoryError, readBody } from "./read_body.js";
import { listen } from "../listen.js";

const REQUEST_ID_BYTES = 12;

/**
 * Interval at which Node.js checks for callers that send headers too slowly.
 */
const HEADER_TIMEOUT_CHECK_INTERVAL_MS: Millis = 500;

/** A caller that takes longer to read its response loses the end of it at a stop. */
const MAX_DELIVERY_MS: Millis = 5000;

/** Maximum time for accepting the connections that wait when the port closes. */
const MAX_ACCEPT_MS: Millis = 1000;

/** Refusals by the head alone, after which a connection may be used again. */
const KEPT_OPEN_STATUSES = new Set([401, 404, 405]);

/** Time for the first request of a connection that was accepted last. */
const LAST_REQUESTS_MS: Millis = 100;

/**
 * Maximum number of requests on a connection whose responses are not taken. The
 * parser emits all requests of one read, so they cannot be held back.
 */
const MAX_PIPELINED_REQUESTS = 32;

export interface CallerServerOptions {
  /** Account of what is held for callers. */
  readonly memory: CallerMemory;
  /** Called for each connection that is closed because of a bound. */
  readonly onEvict: (eviction: ReportedEviction) => void;
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  readonly bodyTimeoutMs: Millis;
  /** Undefined if connections are not bounded. */
  readonly maxConnections?: number | undefined;
  readonly hasher: PrefixHasher;
  /**
   * Models that the account with this key may use; undefined if the key is
   * unknown.
   */
  readonly listModels: (keyHash: string) => readonly string[] | undefined;
  readonly knowsKey: (keyHash: string) => boolean;
  /** Why the router accepts no requests; undefined when it does. */
  readonly notReadyReason: () => string | undefined;
}

/**
 * The caller has started or stopped reading slower than its response is
 * written.
 */
export interface Backpressure {
  readonly requestId: string;
  readonly congested: boolean;
}

/** HTTP server for callers: parses requests and writes the responses. */
export class CallerServer implements Disposable {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #callers = new Map<Socket, CallerConnection>();
  readonly #responses = new Map<string, ServerResponse>();
  /** Number of requests whose responses are not taken whole. */
  #undeliveredCount = 0;
  #onDelivered: (() => void) | undefined;
  readonly #onRequest = new Emitter<CallerRequest>();
  readonly #onDisconnected = new Emitter<string>();
  readonly #onBackpressure = new Emitter<Backpressure>();
  readonly #closer = new ConnectionCloser();
  readonly #connections: ConnectionCounter;

  /** Fires for each valid request; the host must respond to it. */
  readonly onRequest = this.#onRequest.event;
  /** Fires when a caller disconnects before its response is complete. */
  readonly onDisconnected = this.#onDisconnected.event;
  /**
   * Fires when a caller becomes too slow at reading its response, and when it
   * keeps up again.
   */
  readonly onBackpressure = this.#onBackpressure.event;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#server = createServer({
      ...BOUNDED_MESSAGES,
      maxHeaderSize: options.maxHeaderBytes,
      headersTimeout: options.bodyTimeoutMs,
      requestTimeout: 0,
      connectionsCheckingInterval: HEADER_TIMEOUT_CHECK_INTERVAL_MS,
      keepAliveTimeout: 60_000,
    }, (request, response) => void this.#handle(request, response, false));
    this.#server.on("clientError", respondToClientError);
    this.#server.on(
      "checkContinue",
      (request: IncomingMessage, response: ServerResponse) =>
        void this.#handle(request, response, true),
    );
    this.#server.on(
      "connection",
      (socket: Socket) => this.#addConnection(socket),
    );
    this.#connections = new ConnectionCounter(this.#server);
  }

  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  /** Sends `Connection: close` with all responses that start from now on. */
  stopKeepAlive(): void {
    this.#closer.stop();
  }

  /**
   * Stops listening when all connections that callers have opened are accepted, and
   * resolves when they have had time for their first requests. Connections stay
   * open, also those without a request.
   */
  async stopListening(): Promise<void> {
    await this.#connections.untilAccepted(MAX_ACCEPT_MS);
    // The method of the HTTP server would close idle connections as well.
    NetServer.prototype.close.call(this.#server);
    await sleep(LAST_REQUESTS_MS);
    await nextPoll();
  }

  /**
   * Resolves when callers have all responses to the requests that have arrived or
   * are arriving, or after {@link MAX_DELIVERY_MS}.
   */
  untilDelivered(): Promise<void> {
    if (this.#undeliveredCount === 0) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, MAX_DELIVERY_MS);
      this.#onDelivered = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /**
   * Sends the head of a response. Has no effect when the caller has
   * disconnected or the head was sent before.
   */
  sendHead(
    requestId: string,
    status: number,
    headers: Readonly<Record<string, string>>,
  ): void {
    const response = this.#responses.get(requestId);
    if (response && !response.headersSent) {
      this.#setConnectionHeader(response);
      response.writeHead(status, headers);
    }
  }

  /** Sends or buffers a part of the body; see `onBackpressure`. */
  sendData(requestId: string, data: Uint8Array): void {
    const response = this.#responses.get(requestId);
    if (!response || response.write(data)) {
      return;
    }
    // One listener is enough to report that the caller reads again, however
    // many writes follow before that.
    if (response.listenerCount("drain") === 0) {
      this.#onBackpressure.fire({ requestId, congested: true });
      response.once("drain", () => {
        this.#onBackpressure.fire({ requestId, congested: false });
      });
    }
  }

  /** Completes the response. */
  sendEnd(requestId: string): void {
    const response = this.#responses.get(requestId);
    this.#responses.delete(requestId);
    response?.end();
  }

  /**
   * Destroys the connection of a response whose head was sent, so that the
   * caller cannot mistake the partial response for a complete one.
   */
  abort(requestId: string): void {
    const response = this.#responses.get(requestId);
    this.#responses.delete(requestId);
    if (response) {
      breakOff(response);
    }
  }

  /** Sends an error as the response; destroys a response that has started. */
  sendError(requestId: string, error: ErrorAnswer, endpointId?: string): void {
    const response = this.#responses.get(requestId);
    this.#responses.delete(requestId);
    if (response) {
      this.#setConnectionHeader(response);
      writeError(response, requestId, error, endpointId);
    }
  }

  dispose(): void {
    this.#responses.forEach(breakOff);
    this.#server.close();
    this.#server.closeAllConnections();
    this.#onRequest.dispose();
    this.#onDisconnected.dispose();
    this.#onBackpressure.dispose();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): Promise<void> {
    const connection = this.#callers.get(request.socket);
    // The parser emits all requests of one read, also after the connection was closed.
    if (!connection) {
      return;
    }
    if (connection.unansweredCount >= MAX_PIPELINED_REQUESTS) {
      this.#closeConnection(connection, "pipelining");
      return;
    }
    if (!this.#closer.accept(request, response)) {
      connection.droppedCount++;
      return;
    }
    const head: RequestHead = {
      requestId: randomBytes(REQUEST_ID_BYTES).toString("base64url"),
      method: request.method ?? "GET",
      url: request.url ?? "/",
      headers: request.headers,
    };
    const open = this.#open(head.requestId, request, response, connection);
    if (!open.holdHead()) {
      this.#refuse(open, noMemoryError());
      return;
    }
    if (this.#respondLocally(head, request, response)) {
      return;
    }
    this.#responses.set(head.requestId, response);
    const parsed = await this.#readRequest(head, open, expectsContinue);
    if (parsed) {
      open.holding.pin();
      open.isRunning = true;
      this.#onRequest.fire(parsed);
    }
  }

  /**
   * Reads and parses a request. Responds with an error and resolves to
   * undefined when the request is invalid.
   */
  async #readRequest(
    head: RequestHead,
    open: OpenRequest,
    expectsContinue: boolean,
  ): Promise<CallerRequest | undefined> {
    try {
      this.#checkHead(head, open.request);
      if (expectsContinue) {
        open.response.writeContinue();
      }
      const body = await readBody(open.reader, this.#options);
      if (open.holding.closed) {
        throw noMemoryError();
      }
      return this.#parseRequest(head, body);
    } catch (error) {
      if (error instanceof CallerError) {
        this.#refuse(open, error);
      } else {
        this.#responses.delete(head.requestId);
        open.response.destroy();
      }
      return undefined;
    }
  }

  /** Throws {@link CallerError} for a request that is refused whatever its body is. */
  #checkHead(head: RequestHead, request: IncomingMessage): void {
    if (announcesTooLargeBody(request, this.#options.maxBodyBytes)) {
      throw bodyTooLargeError(this.#options.maxBodyBytes);
    }
    checkRoute(head);
    // A complete request without a configuration is refused for another reason.
    if (
      this.#options.notReadyReason() === undefined &&
      !this.#options.knowsKey(keyHashOf(head))
    ) {
      throw new CallerError(
        401,
        "invalid_api_key",
        "Incorrect API key provided.",
      );
    }
  }

  #open(
    requestId: string,
    request: IncomingMessage,
    response: ServerResponse,
    connection: CallerConnection,
  ): OpenRequest {
    const { maxBodyBytes, memory } = this.#options;
    const open: OpenRequest = new OpenRequest(
      requestId,
      request,
      response,
      memory.open(connection.address, () => this.#evict(open)),
      maxBodyBytes,
    );
    connection.add(open);
    this.#undeliveredCount++;
    request.on("error", () => {});
    response.on("error", () => {});
    response.once("close", () => this.#close(connection, open));
    return open;
  }

  /** Ends a request whose caller has taken the response or has gone. */
  #close(connection: CallerConnection, open: OpenRequest): void {
    if (!connection.requests.delete(open)) {
      return;
    }
    open.holding.close();
    open.reader.cancel();
    this.#undeliveredCount--;
    if (this.#undeliveredCount === 0) {
      this.#onDelivered?.();
    }
    if (this.#responses.delete(open.requestId)) {
      this.#onDisconnected.fire(open.requestId);
    }
  }

  /** Ends the request that holds most; it does not run. */
  #evict(open: OpenRequest): void {
    if (open.response.writableEnded) {
      // The caller does not take the response.
      open.request.socket.destroy();
    } else {
      open.reader.cancel();
    }
  }

  /** Refuses a request that has not run; the rest of its body is not kept. */
  #refuse(open: OpenRequest, { answer }: CallerError): void {
    const { request, requestId, response } = open;
    const { bodyTimeoutMs, maxBodyBytes } = this.#options;
    this.#responses.delete(requestId);
    if (request.socket.destroyed) {
      return;
    }
    // A caller whose request is refused by its head reads the response when it has
    // sent the body, so its connection stays open.
    if (!KEPT_OPEN_STATUSES.has(answer.status)) {
      this.#closer.close(response);
      response.setHeader("connection", "close");
    }
    this.#setConnectionHeader(response);
    writeError(response, requestId, answer);
    discardBody(request, {
      maxBytes: maxBodyBytes,
      timeoutMs: bodyTimeoutMs,
      onDiscard: (bytes) => open.holding.drop(bytes),
    });
  }

  /** Records a connection, and closes one if there are too many. */
  #addConnection(socket: Socket): void {
    this.#callers.set(socket, new CallerConnection(socket));
    socket.once("close", () => this.#removeConnection(socket));
    const { maxConnections = Infinity } = this.#options;
    if (this.#callers.size > maxConnections) {
      const chosen = chooseConnection([...this.#callers.values()]);
      this.#closeConnection(chosen!, "connections");
    }
  }

  #closeConnection(
    connection: CallerConnection,
    reason: ReportedEviction["reason"],
  ): void {
    this.#options.onEvict({
      reason,
      address: connection.address,
      heldBytes: connection.heldBytes,
      totalBytes: this.#options.memory.heldBytes,
    });
    connection.socket.destroy();
    this.#removeConnection(connection.socket);
  }

  /** The close event of a response is emitted only for the first of a connection. */
  #removeConnection(socket: Socket): void {
    const connection = this.#callers.get(socket);
    this.#callers.delete(socket);
    connection?.requests.forEach((open) => this.#close(connection, open));
  }

  #parseRequest(head: RequestHead, body: Uint8Array): CallerRequest {
    return isServiceCall(head)
      ? parseServiceRequest(head, body)
      : parseChatRequest(head, body, this.#options.hasher);
  }

  /**
   * Responds to health checks and to the list of models. Returns false for
   * other paths.
   */
  #respondLocally(
    head: RequestHead,
    request: IncomingMessage,
    response: ServerResponse,
  ): boolean {
    const path = head.url.split("?")[0];
    if (path !== "/healthz" && path !== "/readyz" && path !== "/v1/models") {
      return false;
    }
    const { bodyTimeoutMs, maxBodyBytes } = this.#options;
    discardBody(request, { maxBytes: maxBodyBytes, timeoutMs: bodyTimeoutMs });
    if (path === "/healthz") {
      writeJson(response, 200, { status: "ok" });
    } else if (path === "/readyz") {
      const reason = this.#options.notReadyReason();
      writeJson(response, reason === undefined ? 200 : 503, {
        status: reason ?? "ready",
      });
    } else {
      this.#respondWithModels(head, response);
    }
    return true;
  }

  #respondWithModels(head: RequestHead, response: ServerResponse): void {
    const models = this.#options.listModels(keyHashOf(head));
    if (!models) {
      writeError(response, head.requestId, {
        status: 401,
        code: "invalid_api_key",
        errorType: "invalid_request_error",
        message: "Incorrect API key provided.",
        outcome: "not-run",
      });
      return;
    }
    response.setHeader("anvildeal-request", head.requestId);
    writeJson(response, 200, {
      object: "list",
      data: models.map((id) => ({
        id,
        object: "model",
        created: 0,
        owned_by: "anvildeal",
      })),
    });
  }

  #setConnectionHeader(response: ServerResponse): void {
    if (!response.headersSent && this.#closer.announce(response)) {
      response.setHeader("connection", "close");
    }
  }
}

function isServiceCall({ url }: RequestHead): boolean {
  return url.startsWith("/services/");
}

/** Throws {@link CallerError} if no call has the path and method. */
function checkRoute(head: RequestHead): void {
  const path = head.url.split("?")[0];
  if (isServiceCall(head)) {
    return;
  }
  if (path !== "/v1/chat/completions") {
    throw new CallerError(404, "not_found", `Unknown path ${path}`);
  }
  if (head.method !== "POST") {
    throw new CallerError(405, "method_not_allowed", "Use POST.");
  }
}

/**
 * Writes an error in the format of the OpenAI HTTP API. Destroys the connection
 * when a response has already started.
 */
function writeError(
  response: ServerResponse,
  requestId: string,
  error: ErrorAnswer,
  endpointId?: string,
): void {
  if (response.headersSent) {
    breakOff(response);
    return;
  }
  response.setHeader("anvildeal-request", requestId);
  response.setHeader("anvildeal-endpoint", endpointId ?? "none");
  response.setHeader("anvildeal-outcome", error.outcome);
  if (error.retryAfterMs !== undefined) {
    const MS_PER_S = 1000;
    const seconds = Math.ceil(error.retryAfterMs / MS_PER_S);
    response.setHeader("retry-after", String(seconds));
  }
  writeJson(response, error.status, {
    error: {
      message: error.message,
      type: error.errorType,
      param: null,
      code: error.code,
    },
  });
}

function writeJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}

/**
 * Closes the connection of an answer that is not complete. Without chunks its end may
 * be marked by an orderly close, so the connection is reset.
 */
function breakOff(response: ServerResponse): void {
  if (response.headersSent && !response.chunkedEncoding) {
    response.socket?.resetAndDestroy();
  }
  response.destroy();
}

/** Responds to an HTTP request head that is invalid, too large or too slow. */
function respondToClientError(
  error: Error & { code?: string },
  socket: Socket,
) {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const status = error.code === "ERR_HTTP_REQUEST_TIMEOUT"
    ? "408 Request Timeout"
    : error.code === "HPE_HEADER_OVERFLOW"
    ? "431 Request Header Fields Too Large"
    : "400 Bad Request";
  socket.end(
    `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n` +
      "anvildeal-outcome: not-run\r\n\r\n",
  );
}
