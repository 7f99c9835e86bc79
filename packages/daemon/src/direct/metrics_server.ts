import { createServer, type Server } from "node:http";
import { listen } from "../listen.js";
import type { MetricRegistry } from "../metrics/index.js";
import { type Disposable, splitAddress } from "../net/index.js";

/** Serves the process's metrics under `/metrics`. */
export class MetricsServer implements Disposable {
  readonly #server: Server;

  constructor(registry: MetricRegistry) {
    this.#server = createServer((request, response) => {
      if (request.url === "/metrics") {
        void registry.sendMetrics(response);
        return;
      }
      response.writeHead(404).end();
    });
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
