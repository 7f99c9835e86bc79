import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import {
  type Exchange,
  readJson,
  sendError,
  sendJson,
} from "./http_exchange.js";
import { closeServer, listenOnLoopback } from "./listen.js";
import type { StandIn } from "./stand_in.js";

/** Faults that can be injected into every HTTP stand-in. */
export const CommonFaultsSchema = z.object({
  /**
   * `refuse` closes the port and resets open connections; `hang` accepts
   * requests but neither applies nor answers them.
   */
  outage: z.enum(["none", "refuse", "hang"]).optional(),
  /** Time in milliseconds after which the outage ends by itself. */
  outage_ms: z.number().positive().optional(),
  /** Delay in milliseconds before each request is handled. */
  slow_ms: z.number().nonnegative().optional(),
});
export type CommonFaults = z.infer<typeof CommonFaultsSchema>;

/** Longer than any pause in a test, so that idle connections stay open. */
const KEEP_ALIVE_MS = 120_000;

/**
 * An HTTP server on loopback with a service port and a control port. The
 * control port serves the same paths and stays reachable during an outage.
 */
export abstract class HttpStandIn implements StandIn {
  readonly #service: Server;
  readonly #control: Server;
  readonly #unanswered = new Set<ServerResponse>();
  #port: number;
  #controlPort = 0;
  #outage: "none" | "refuse" | "hang" = "none";
  #outageTimer: NodeJS.Timeout | undefined;
  #slowMs = 0;

  /** `start` listens on `port`, or on a free port if `port` is 0. */
  constructor(port = 0) {
    this.#port = port;
    this.#service = createServer({ keepAliveTimeout: KEEP_ALIVE_MS });
    this.#control = createServer({ keepAliveTimeout: KEEP_ALIVE_MS });
    this.#service.on("request", (request, response) => {
      void this.#serve(request, response, false);
    });
    this.#control.on("request", (request, response) => {
      void this.#serve(request, response, true);
    });
  }

  get url(): string {
    return `http://127.0.0.1:${this.#port}`;
  }

  get controlUrl(): string {
    return `http://127.0.0.1:${this.#controlPort}`;
  }

  /** Number of requests that an outage of kind `hang` leaves unanswered. */
  get unansweredRequests(): number {
    return this.#unanswered.size;
  }

  async start(): Promise<void> {
    this.#port = await listenOnLoopback(this.#service, this.#port);
    this.#controlPort = await listenOnLoopback(this.#control);
  }

  async dispose(): Promise<void> {
    clearTimeout(this.#outageTimer);
    await Promise.all([closeServer(this.#service), closeServer(this.#control)]);
  }

  /**
   * Answers one request. If the method throws, the request is answered with the
   * HTTP status of the error.
   */
  protected abstract handle(exchange: Exchange): Promise<void>;

  /** Validates and applies the body of `POST /faults`. */
  protected abstract applyFaults(body: unknown): Promise<void>;

  protected async applyCommonFaults(faults: CommonFaults): Promise<void> {
    this.#slowMs = faults.slow_ms ?? this.#slowMs;
    if (faults.outage !== undefined) {
      clearTimeout(this.#outageTimer);
      await this.#setOutage(faults.outage);
      if (faults.outage_ms !== undefined) {
        this.#outageTimer = setTimeout(
          () => void this.#setOutage("none"),
          faults.outage_ms,
        );
      }
    }
  }

  async #setOutage(outage: "none" | "refuse" | "hang"): Promise<void> {
    const previous = this.#outage;
    this.#outage = outage;
    if (outage === previous) {
      return;
    }
    for (const response of this.#unanswered) {
      response.destroy();
    }
    this.#unanswered.clear();
    if (outage === "refuse") {
      await closeServer(this.#service);
    } else if (previous === "refuse") {
      await listenOnLoopback(this.#service, this.#port);
    }
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
    viaControl: boolean,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", this.url);
    const exchange = { request, response, url };
    try {
      if (url.pathname === "/faults" && request.method === "POST") {
        await this.applyFaults(await readJson(request));
        sendJson(exchange, 200, {});
        return;
      }
      if (!viaControl) {
        if (this.#slowMs > 0) {
          await sleep(this.#slowMs);
        }
        if (this.#outage === "hang") {
          this.leaveUnanswered(response);
          return;
        }
      }
      await this.handle(exchange);
    } catch (error) {
      sendError(exchange, error);
    }
  }

  /** Whether an outage of kind `hang` withholds the answers. */
  protected get isHanging(): boolean {
    return this.#outage === "hang";
  }

  /** Leaves a response unanswered; its connection is reset after the outage. */
  protected leaveUnanswered(response: ServerResponse): void {
    if (response.destroyed) {
      return;
    }
    this.#unanswered.add(response);
    response.once("close", () => this.#unanswered.delete(response));
  }

  /**
   * Sends a JSON answer, unless an outage of kind `hang` leaves the request
   * unanswered.
   */
  protected sendUnlessHanging(
    exchange: Exchange,
    status: number,
    body: unknown,
    headers: Record<string, string> = {},
  ): void {
    if (this.isHanging) {
      this.leaveUnanswered(exchange.response);
      return;
    }
    sendJson(exchange, status, body, headers);
  }
}
