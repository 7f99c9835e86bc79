import { createServer as createHttpServer } from "node:http";
import { connect, createServer, type Socket } from "node:net";
import { z } from "zod";
import {
  type Exchange,
  readJson,
  sendError,
  sendJson,
} from "./http_exchange.js";
import { HttpStatusError } from "./http_status_error.js";
import { closeServer, listenOnLoopback } from "./listen.js";
import {
  ProxiedConnection,
  type ProxyCut,
  type StallDirection,
} from "./proxied_connection.js";
import type { StandIn } from "./stand_in.js";

const TcpProxyFaultsSchema = z.object({
  /** Delay in milliseconds for data in both directions on all connections. */
  delay_ms: z.number().nonnegative().optional(),
  /**
   * Resets each of the next `next_connections` new connections after
   * `after_bytes` bytes in `direction`.
   */
  cut: z.object({
    after_bytes: z.int().positive(),
    next_connections: z.int().positive().default(1),
    direction: z.enum(["to_target", "to_client"]).default("to_client"),
  }).optional(),
  /** False closes the listening port; established connections stay open. */
  accepting: z.boolean().optional(),
  /**
   * Stalls the current connections permanently; later connections are not
   * affected.
   */
  silence: z.enum(["to_target", "to_client", "both"]).optional(),
  /** Resets the current connections; later connections are not affected. */
  reset: z.literal(true).optional(),
});
export type TcpProxyFaults = z.input<typeof TcpProxyFaultsSchema>;

export interface TcpProxyOptions {
  /** Address on which the proxy listens; 127.0.0.1 if it is left out. */
  readonly host?: string;
  readonly port?: number;
  /** Address to which connections are forwarded; 127.0.0.1 if it is left out. */
  readonly targetHost?: string;
  /** Port on loopback to which connections are forwarded. */
  readonly targetPort: number;
}

/** Forwards one loopback port to another and injects network faults. */
export class TcpProxy implements StandIn {
  readonly #server = createServer({ allowHalfOpen: true });
  readonly #control = createHttpServer();
  readonly #host: string;
  readonly #targetHost: string;
  readonly #targetPort: number;
  readonly #connections = new Set<ProxiedConnection>();
  readonly #bytes = { to_target: 0, to_client: 0 };
  #acceptedConnections = 0;
  #port: number;
  #controlPort = 0;
  #delayMs = 0;
  #cut: ProxyCut | undefined;
  #cutsLeft = 0;

  constructor(options: TcpProxyOptions) {
    this.#host = options.host ?? "127.0.0.1";
    this.#targetHost = options.targetHost ?? "127.0.0.1";
    this.#port = options.port ?? 0;
    this.#targetPort = options.targetPort;
    this.#server.on("connection", (client) => this.#onConnection(client));
    this.#control.on("request", (request, response) => {
      const url = new URL(request.url ?? "/", this.controlUrl);
      void this.#serveControl({ request, response, url });
    });
  }

  /** Listening port of the proxy. */
  get port(): number {
    return this.#port;
  }

  get url(): string {
    return `http://127.0.0.1:${this.#port}`;
  }

  get controlUrl(): string {
    return `http://127.0.0.1:${this.#controlPort}`;
  }

  /**
   * `established` is the number of current connections; the other figures are
   * totals since the start.
   */
  get stats(): object {
    return {
      accepted: this.#acceptedConnections,
      established: this.#connections.size,
      bytes_to_target: this.#bytes.to_target,
      bytes_to_client: this.#bytes.to_client,
    };
  }

  async start(): Promise<void> {
    this.#port = await listenOnLoopback(this.#server, this.#port, this.#host);
    this.#controlPort = await listenOnLoopback(this.#control);
  }

  async dispose(): Promise<void> {
    await this.setAccepting(false);
    this.resetConnections();
    await closeServer(this.#control);
  }

  /**
   * Returns the connection that the target sees as coming from this port; undefined
   * if it is closed.
   */
  connectionFrom(port: number | undefined): ProxiedConnection | undefined {
    return [...this.#connections].find(({ targetPort }) =>
      targetPort !== undefined && targetPort === port
    );
  }

  setDelay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /**
   * Resets each of the next `connections` new connections as `cut` specifies.
   */
  cutNextConnections(cut: ProxyCut, connections = 1): void {
    this.#cut = cut;
    this.#cutsLeft = connections;
  }

  resetConnections(): void {
    for (const connection of this.#connections) {
      connection.reset();
    }
  }

  /**
   * Stalls the current connections permanently; later connections are not
   * affected.
   */
  stallConnections(direction: StallDirection): void {
    for (const connection of this.#connections) {
      connection.stall(direction);
    }
  }

  /** Opens or closes the listening port; established connections stay open. */
  async setAccepting(accepting: boolean): Promise<void> {
    if (accepting === this.#server.listening) {
      return;
    }
    if (accepting) {
      await listenOnLoopback(this.#server, this.#port, this.#host);
    } else {
      // `close` is not awaited: its callback waits for established connections
      // to end.
      this.#server.close();
    }
  }

  async setFaults(faults: TcpProxyFaults): Promise<void> {
    const parsed = TcpProxyFaultsSchema.parse(faults);
    this.#delayMs = parsed.delay_ms ?? this.#delayMs;
    if (parsed.cut) {
      const { after_bytes, direction, next_connections } = parsed.cut;
      this.cutNextConnections(
        { afterBytes: after_bytes, direction },
        next_connections,
      );
    }
    if (parsed.silence) {
      this.stallConnections(parsed.silence);
    }
    if (parsed.reset) {
      this.resetConnections();
    }
    if (parsed.accepting !== undefined) {
      await this.setAccepting(parsed.accepting);
    }
  }

  #onConnection(client: Socket): void {
    this.#acceptedConnections += 1;
    const target = connect({
      host: this.#targetHost,
      port: this.#targetPort,
      allowHalfOpen: true,
    });
    const connection = new ProxiedConnection(
      client,
      target,
      this.#consumeCut(),
      {
        delayMs: () => this.#delayMs,
        onBytes: (direction, bytes) => {
          this.#bytes[direction] += bytes;
        },
        onClosed: (closed) => this.#connections.delete(closed),
      },
    );
    this.#connections.add(connection);
  }

  #consumeCut(): ProxyCut | undefined {
    if (this.#cutsLeft === 0) {
      return undefined;
    }
    this.#cutsLeft -= 1;
    return this.#cut;
  }

  async #serveControl(exchange: Exchange): Promise<void> {
    try {
      const { request, url } = exchange;
      if (url.pathname === "/faults" && request.method === "POST") {
        await this.setFaults(await readJson(request) as TcpProxyFaults);
        sendJson(exchange, 200, {});
      } else if (url.pathname === "/stats") {
        sendJson(exchange, 200, this.stats);
      } else {
        throw new HttpStatusError(404, `No resource ${url.pathname}`);
      }
    } catch (error) {
      sendError(exchange, error);
    }
  }
}
