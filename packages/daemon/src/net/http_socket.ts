import { Socket } from "node:net";
import type { Millis } from "@anvildeal/core";
import { buildConnector, errors } from "undici";
import { openConnection } from "./open_connection.js";

/** Idle time after which the kernel sends TCP keep-alive probes. */
const TCP_KEEP_ALIVE_MS: Millis = 1000;

/** Port of a URL that names none. */
const DEFAULT_HTTP_PORT = 80;

/** The peer reset a connection, so an answer on it may be incomplete. */
export class ConnectionResetError extends Error {
  override readonly name = "ConnectionResetError";
  readonly code = "ERR_CONNECTION_RESET";

  constructor(options?: ErrorOptions) {
    super("connection was reset by the peer", options);
  }
}

/**
 * TCP connection of an undici client. It corrects two faults of undici with
 * answers that have neither a length nor chunks:
 *
 * - A reset is taken for the regular end of the answer. Here it always fails with
 *   {@link ConnectionResetError}.
 * - An end that arrives while the caller has paused the answer throws, and the
 *   answer never ends. Here the end is reported when undici reads on.
 */
export class HttpSocket extends Socket {
  /** Whether undici's parser is paused: it then puts back what it has not read. */
  #isPaused = false;
  #hasHeldEnd = false;

  constructor() {
    // Without this, the socket closes at its end even if that is held back. undici
    // destroys each connection at its end.
    super({ allowHalfOpen: true });
  }

  override unshift(chunk: Uint8Array): void {
    this.#isPaused = true;
    super.unshift(chunk);
  }

  override read(size?: number): unknown {
    const chunk: unknown = super.read(size);
    // Node.js itself reads with a size of 0.
    if (size === undefined) {
      this.#isPaused = false;
      this.#emitHeldEnd();
    }
    return chunk;
  }

  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    const { code } = (error ?? {}) as { code?: string };
    super._destroy(
      error,
      code === "ECONNRESET"
        ? () => callback(new ConnectionResetError({ cause: error }))
        : callback,
    );
  }

  override emit(event: string | symbol, ...args: unknown[]): boolean {
    // An orderly end is also reported when the last bytes and a reset are read
    // together. A socket that was reset has no peer any more.
    if (event === "end" && this.remoteAddress === undefined) {
      this.destroy(new ConnectionResetError());
      return false;
    }
    if (event === "end" && this.#isPaused) {
      this.#hasHeldEnd = true;
      return false;
    }
    return super.emit(event, ...args);
  }

  #emitHeldEnd(): void {
    if (this.#hasHeldEnd) {
      this.#hasHeldEnd = false;
      // undici first parses what it is reading, which may pause it again.
      setImmediate(() => this.destroyed || this.emit("end"));
    }
  }
}

/**
 * Opens a connection to an address such as `10.0.0.1:8080`. It fails with an
 * error event if it is not established in time.
 */
export function openHttpSocket(
  address: string,
  connectTimeoutMs: Millis,
): HttpSocket {
  const socket = openConnection(address, new HttpSocket());
  socket.setNoDelay(true);
  socket.setKeepAlive(true, TCP_KEEP_ALIVE_MS);
  let check: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    // A process that was held up first reads whether the connection is open.
    check = setImmediate(() => {
      socket.destroy(
        new errors.ConnectTimeoutError(
          `no connection to ${address} within ${connectTimeoutMs} ms`,
        ),
      );
    });
  }, connectTimeoutMs);
  const stop = () => {
    clearTimeout(timer);
    clearImmediate(check);
  };
  socket.once("connect", stop);
  socket.once("close", stop);
  return socket;
}

/**
 * Option `connect` of undici's clients: opens {@link HttpSocket}s, and undici's
 * own sockets for HTTPS.
 */
export function httpConnector(
  connectTimeoutMs: Millis,
): buildConnector.connector {
  const connectTls = buildConnector({ timeout: connectTimeoutMs });
  return (options, callback) => {
    if (options.protocol === "https:") {
      connectTls(options, callback);
      return;
    }
    const { hostname, port } = options;
    const socket = openHttpSocket(
      `${hostname}:${port || DEFAULT_HTTP_PORT}`,
      connectTimeoutMs,
    );
    const fail = (error: Error) => callback(error, null);
    socket.once("error", fail);
    socket.once("connect", () => {
      socket.off("error", fail);
      callback(null, socket);
    });
  };
}
