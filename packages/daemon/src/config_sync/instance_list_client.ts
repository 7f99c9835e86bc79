import {
  type InstanceRow,
  type Millis,
  SocketAddressSchema,
} from "@anvildeal/core";
import { Agent, request } from "undici";
import { z } from "zod";
import { httpConnector } from "../net/index.js";
import { InstanceListError } from "./instance_list_error.js";
import { readText } from "../read_text.js";
import type { Timers } from "./timers.js";

/** Limit of a list, which has some 200 bytes for each instance. */
const MAX_LIST_BYTES = 8 * 1024 * 1024;

/** A poll ends sooner by its own time limit. */
const CONNECT_TIMEOUT_MS: Millis = 10_000;

/** Body of `GET /instances`. Its rows are decoded one by one. */
const InstanceListSchema = z.object({
  version: z.number(),
  instances: z.array(z.unknown()),
});

const InstanceRowSchema = z.object({
  instance_id: z.string().min(1).max(128),
  role: z.enum(["router", "endpoint"]),
  pool: z.string().max(128).default(""),
  address: SocketAddressSchema,
  failure_domain: z.string().max(128),
  state: z.enum(["live", "leaving"]),
});

/** One version of the instance list. */
export interface InstanceListResponse {
  readonly listVersion: number;
  readonly instances: readonly InstanceRow[];
  /** Why rows were ignored; one invalid row affects no other. */
  readonly ignored: readonly string[];
}

export interface InstanceListClientOptions {
  /** URL without a path, such as `http://127.0.0.1:8081`. */
  readonly url: string;
  /** Time until a poll without a complete response fails. */
  readonly requestTimeoutMs: Millis;
  readonly timers: Timers;
}

/** HTTP client of the platform's instance list. */
export class InstanceListClient {
  readonly #options: InstanceListClientOptions;
  readonly #agent = new Agent({
    connections: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: httpConnector(CONNECT_TIMEOUT_MS),
  });
  #etag: string | undefined;

  constructor(options: InstanceListClientOptions) {
    this.#options = options;
  }

  /**
   * Reads the list. Resolves to undefined when it has not changed since the
   * last successful call. Rejects with {@link InstanceListError}.
   */
  async poll(): Promise<InstanceListResponse | undefined> {
    const controller = new AbortController();
    const { timers, requestTimeoutMs } = this.#options;
    // Aborting also closes the connection, which may have stalled.
    const timer = timers.after(requestTimeoutMs, () => controller.abort());
    try {
      return await this.#poll(controller.signal);
    } catch (error) {
      if (error instanceof InstanceListError) {
        throw error;
      }
      const text = controller.signal.aborted
        ? `no response within ${requestTimeoutMs} ms`
        : String(error);
      throw new InstanceListError(
        `request for the instance list failed: ${text}`,
        {
          cause: error,
        },
      );
    } finally {
      timer.cancel();
    }
  }

  async dispose(): Promise<void> {
    await this.#agent.destroy();
  }

  async #poll(signal: AbortSignal): Promise<InstanceListResponse | undefined> {
    const headers: Record<string, string> = {};
    if (this.#etag !== undefined) {
      headers["if-none-match"] = this.#etag;
    }
    const url = new URL("/instances", this.#options.url);
    const dispatcher = this.#agent;
    const response = await request(url, { dispatcher, headers, signal });
    if (response.statusCode === 304) {
      await response.body.dump();
      return undefined;
    }
    if (response.statusCode !== 200) {
      await response.body.dump();
      throw new InstanceListError(
        `instance list responded with status ${response.statusCode}, expected 200 or 304`,
      );
    }
    const text = await readText(response.body, MAX_LIST_BYTES);
    const list = parseInstanceList(JSON.parse(text));
    const { etag } = response.headers;
    this.#etag = typeof etag === "string" ? etag : undefined;
    return list;
  }
}

function parseInstanceList(body: unknown): InstanceListResponse {
  const parsed = InstanceListSchema.safeParse(body);
  if (!parsed.success) {
    throw new InstanceListError(
      `instance list does not match its schema: ${
        z.prettifyError(parsed.error)
      }`,
    );
  }
  const instances: InstanceRow[] = [];
  const ignored: string[] = [];
  parsed.data.instances.forEach((item, index) => {
    const row = InstanceRowSchema.safeParse(item);
    if (row.success) {
      instances.push(decodeRow(row.data));
    } else {
      ignored.push(`row ${index}: ${z.prettifyError(row.error)}`);
    }
  });
  return { listVersion: parsed.data.version, instances, ignored };
}

function decodeRow(row: z.infer<typeof InstanceRowSchema>): InstanceRow {
  return {
    instanceId: row.instance_id,
    role: row.role,
    pool: row.pool,
    address: row.address,
    failureDomain: row.failure_domain,
    state: row.state,
  };
}
