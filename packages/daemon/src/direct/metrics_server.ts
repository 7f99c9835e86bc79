import { createServer, type Server } from "node:http";
import type { Socket } from "node:net";
import {
  BOUNDED_MESSAGES,
  boundServer,
  type EvictionReason,
  SMALL_SERVER_BOUNDS,
} from "../caller_memory/index.js";
import { listen } from "../listen.js";
import type { MetricRegistry } from "../metrics/index.js";
import { type Disposable, splitAddress } from "../net/index.js";

/** Serves the process's metrics under `/metrics`. */
export class MetricsServer implements Disposable {
  readonly #server: Server;

  /** @param onClose Called for a connection that is closed because of a bound. */
  constructor(
    registry: MetricRegistry,
    onClose: (socket: Socket, reason: EvictionReason) => void,
  ) {
    this.#server = createServer(BOUNDED_MESSAGES, (request, response) => {
      if (request.url === "/metrics") {
        void registry.sendMetrics(response);
        return;
      }
      response.writeHead(404).end();
    });
    boundServer(this.#server, SMALL_SERVER_BOUNDS, onClose);
  }

  async listen(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    await listen(this.#server, host, port);
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
