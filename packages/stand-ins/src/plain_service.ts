import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { executionIdOf, ExecutionLog } from "./execution_log.js";
import { type Exchange, readBody, sendJson } from "./http_exchange.js";
import { CommonFaultsSchema, HttpStandIn } from "./http_stand_in.js";

/**
 * Methods without an effect on the service; requests with these methods are not
 * counted as executions.
 */
const SAFE_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);

const PlainServiceFaultsSchema = CommonFaultsSchema.extend({
  /**
   * Time in milliseconds between the effect of a request on the service and the
   * answer to the request.
   */
  delay_ms: z.number().nonnegative().optional(),
  /**
   * Fails the next `next_requests` requests; `reset` closes the connection
   * without an answer.
   */
  fail: z.object({
    next_requests: z.int().nonnegative(),
    kind: z.enum(["status_500", "reset"]),
    /** Whether a request takes effect on the service before it fails. */
    after_effect: z.boolean(),
  }).optional(),
});
export type PlainServiceFaults = z.input<typeof PlainServiceFaultsSchema>;
type Failure = NonNullable<PlainServiceFaults["fail"]>;

export interface PlainServiceOptions {
  readonly port?: number;
  readonly delayMs?: number;
}

/** Stand-in for an application; echoes requests and counts their effects. */
export class PlainService extends HttpStandIn {
  readonly executions = new ExecutionLog();
  #delayMs: number;
  #failure: Failure | undefined;

  constructor(options: PlainServiceOptions = {}) {
    super(options.port);
    this.#delayMs = options.delayMs ?? 0;
  }

  async setFaults(faults: PlainServiceFaults): Promise<void> {
    const parsed = PlainServiceFaultsSchema.parse(faults);
    this.#delayMs = parsed.delay_ms ?? this.#delayMs;
    this.#failure = parsed.fail ?? this.#failure;
    await this.applyCommonFaults(parsed);
  }

  protected override applyFaults(body: unknown): Promise<void> {
    return this.setFaults(body as PlainServiceFaults);
  }

  protected override async handle(exchange: Exchange): Promise<void> {
    const { request, url } = exchange;
    if (url.pathname === "/executions" && request.method === "GET") {
      sendJson(exchange, 200, this.executions);
    } else if (url.pathname === "/health" && request.method === "GET") {
      sendJson(exchange, 200, { status: "ok" });
    } else {
      await this.#echo(exchange);
    }
  }

  async #echo(exchange: Exchange): Promise<void> {
    const { request, url } = exchange;
    const body = await readBody(request);
    const failure = this.#consumeFailure();
    if (failure && !failure.after_effect) {
      failRequest(exchange, failure);
      return;
    }
    const hasEffect = !SAFE_METHODS.has(request.method ?? "GET");
    const id = executionIdOf(request);
    if (hasEffect) {
      this.executions.start(id);
    }
    if (this.#delayMs > 0) {
      await sleep(this.#delayMs);
    }
    if (hasEffect) {
      this.executions.complete(id);
    }
    if (failure) {
      failRequest(exchange, failure);
      return;
    }
    this.sendUnlessHanging(exchange, 200, {
      method: request.method,
      path: url.pathname + url.search,
      headers: request.headers,
      body: body.toString("utf8"),
    });
  }

  #consumeFailure(): Failure | undefined {
    const failure = this.#failure;
    if (!failure || failure.next_requests === 0) {
      return undefined;
    }
    this.#failure = { ...failure, next_requests: failure.next_requests - 1 };
    return failure;
  }
}

function failRequest(exchange: Exchange, failure: Failure): void {
  if (failure.kind === "reset") {
    exchange.response.destroy();
    return;
  }
  sendJson(exchange, 500, { error: { message: "Injected failure" } });
}
