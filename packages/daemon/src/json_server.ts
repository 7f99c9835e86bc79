import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import {
  BOUNDED_MESSAGES,
  boundServer,
  type EvictionReason,
  SMALL_SERVER_BOUNDS,
} from "./caller_memory/index.js";
import type { Disposable } from "./net/index.js";
import { listen } from "./listen.js";

export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

/** Maximum size of the header section of a request. */
const MAX_HEADER_BYTES = 16 * 1024;

/**
 * HTTP server for administration, status and metrics, with bounds on its connections
 * and on the requests that wait on them.
 */
export class JsonServer implements Disposable {
  readonly #server: Server;

  /**
   * `routes` maps paths to handlers; `fallback` handles all other paths. `onClose` is
   * called for each connection that is closed because of a bound.
   */
  constructor(
    routes: Readonly<Record<string, RequestHandler>>,
    fallback: RequestHandler = respondNotFound,
    onClose?: (socket: Socket, reason: EvictionReason) => void,
  ) {
    this.#server = createServer({
      ...BOUNDED_MESSAGES,
      maxHeaderSize: MAX_HEADER_BYTES,
    }, (request, response) => {
      if (request.socket.destroyed) {
        return;
      }
      const path = (request.url ?? "/").split("?")[0];
      void (routes[path] ?? fallback)(request, response);
    });
    boundServer(this.#server, SMALL_SERVER_BOUNDS, onClose);
  }

  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** Writes a complete response with a JSON body. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

function respondNotFound(_request: IncomingMessage, response: ServerResponse) {
  sendJson(response, 404, { error: { code: "not_found" } });
}
