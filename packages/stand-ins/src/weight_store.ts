import { createHash } from "node:crypto";
import { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import { z } from "zod";
import { type Exchange, sendJson } from "./http_exchange.js";
import { CommonFaultsSchema, HttpStandIn } from "./http_stand_in.js";
import { HttpStatusError } from "./http_status_error.js";
import { RequestRateLimit } from "./request_rate_limit.js";

/**
 * Size of the pattern that a blob's content repeats; the pattern is derived
 * from the blob's name.
 */
const PATTERN_BYTES = 64 * 1024;

const WeightStoreFaultsSchema = CommonFaultsSchema.extend({
  requests_per_s: z.number().positive().optional(),
});
export type WeightStoreFaults = z.input<typeof WeightStoreFaultsSchema>;

export interface WeightStoreOptions {
  readonly port?: number;
  /** Size in bytes of each blob by name. */
  readonly blobs: Readonly<Record<string, number>>;
  readonly requestsPerS?: number;
  /**
   * Number of requests that are served after an idle period before the rate
   * limit applies.
   */
  readonly burst?: number;
}

/**
 * Stand-in for the platform's store of model weights, which limits the rate of
 * requests.
 */
export class WeightStore extends HttpStandIn {
  readonly #blobs: ReadonlyMap<string, number>;
  readonly #rateLimit: RequestRateLimit;
  #servedRequests = 0;
  #refusedRequests = 0;

  constructor(options: WeightStoreOptions) {
    super(options.port);
    this.#blobs = new Map(Object.entries(options.blobs));
    this.#rateLimit = new RequestRateLimit(
      options.requestsPerS ?? 10,
      options.burst ?? 10,
      performance.now(),
    );
  }

  async setFaults(faults: WeightStoreFaults): Promise<void> {
    const parsed = WeightStoreFaultsSchema.parse(faults);
    if (parsed.requests_per_s !== undefined) {
      this.#rateLimit.requestsPerS = parsed.requests_per_s;
    }
    await this.applyCommonFaults(parsed);
  }

  protected override applyFaults(body: unknown): Promise<void> {
    return this.setFaults(body as WeightStoreFaults);
  }

  protected override async handle(exchange: Exchange): Promise<void> {
    const path = decodeURIComponent(exchange.url.pathname);
    if (path === "/stats") {
      sendJson(exchange, 200, {
        served: this.#servedRequests,
        refused: this.#refusedRequests,
      });
    } else if (path.startsWith("/weights/")) {
      await this.#serveBlob(exchange, path.slice("/weights/".length));
    } else {
      throw new HttpStatusError(404, `No resource ${path}`);
    }
  }

  async #serveBlob(exchange: Exchange, name: string): Promise<void> {
    const waitS = this.#rateLimit.consume(performance.now());
    if (waitS > 0) {
      this.#refusedRequests += 1;
      sendJson(exchange, 429, { error: { message: "Rate limit exceeded" } }, {
        "retry-after": String(Math.ceil(waitS)),
      });
      return;
    }
    const bytes = this.#blobs.get(name);
    if (bytes === undefined) {
      throw new HttpStatusError(404, `No blob ${name}`);
    }
    this.#servedRequests += 1;
    exchange.response.writeHead(200, {
      "content-type": "application/octet-stream",
      "content-length": bytes,
    });
    await pipeline(Readable.from(blobParts(name, bytes)), exchange.response);
  }
}

/** Yields a blob's content, which depends only on the blob's name and size. */
function* blobParts(name: string, bytes: number): Generator<Buffer> {
  const digest = createHash("sha256").update(name).digest();
  const pattern = Buffer.alloc(PATTERN_BYTES, digest);
  for (let sent = 0; sent < bytes; sent += PATTERN_BYTES) {
    yield pattern.subarray(0, Math.min(PATTERN_BYTES, bytes - sent));
  }
}
