import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Disposable } from "./net/index.js";
import { listen } from "./listen.js";

export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

/** HTTP server for administration, status and metrics. */
export class JsonServer implements Disposable {
  readonly #server: Server;

  /** `routes` maps paths to handlers; `fallback` handles all other paths. */
  constructor(
    routes: Readonly<Record<string, RequestHandler>>,
    fallback: RequestHandler = respondNotFound,
  ) {
    this.#server = createServer((request, response) => {
      const path = (request.url ?? "/").split("?")[0];
      void (routes[path] ?? fallback)(request, response);
    });
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
