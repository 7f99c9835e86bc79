import {
  type ListOptions,
  type Millis,
  ObjectStore,
  StoreConflictError,
  type StoredObject,
  type StoreError,
  StoreUnavailableError,
  StoreUnknownOutcomeError,
  type WatchOptions,
} from "@anvildeal/core";
import { setMaxListeners } from "node:events";
import { Agent } from "undici";
import { z } from "zod";
import { httpConnector } from "../net/index.js";
import {
  HttpExchange,
  HttpExchangeError,
  type HttpExchangeOptions,
  type HttpRequest,
  type HttpResponse,
} from "./http_exchange.js";

export type StoreCallKind =
  | "get"
  | "create"
  | "update"
  | "delete"
  | "list"
  | "watch";

/** One finished call to the object API, for the counters of calls and bytes. */
export interface StoreCall {
  readonly kind: StoreCallKind;
  readonly outcome: "ok" | "conflict" | "unavailable" | "unknown";
  /** Bytes of HTTP on the wire, without the headers of TCP and IP. */
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

export interface HttpObjectStoreOptions {
  /** URL without a path, such as `http://127.0.0.1:8080`. */
  readonly url: string;
  /**
   * Time until a call without a complete response fails. For a watch, the
   * timeout of the watch is added.
   */
  readonly requestTimeoutMs: Millis;
  /** Called once for each call, when it has succeeded or failed. */
  readonly onCall?: (call: StoreCall) => void;
}

/**
 * Maximum size of a response body. The largest page of a list whose values all
 * have the largest size is smaller than this.
 */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

const StoredObjectSchema = z.object({
  key: z.string(),
  version: z.int().positive(),
  value: z.unknown(),
});
const VersionSchema = z.object({ version: z.int().positive() });
const ListSchema = z.object({ items: z.array(StoredObjectSchema) });

type WriteKind = "create" | "update" | "delete";

/** {@link ObjectStore} over the HTTP object API of the platform. */
export class HttpObjectStore extends ObjectStore {
  readonly #origin: string;
  readonly #requestTimeoutMs: Millis;
  readonly #onCall: (call: StoreCall) => void;
  readonly #disposeController = new AbortController();
  readonly #agents = new Set<Agent>();
  #agent: Agent;

  constructor(options: HttpObjectStoreOptions) {
    super();
    this.#origin = new URL(options.url).origin;
    this.#requestTimeoutMs = options.requestTimeoutMs;
    this.#onCall = options.onCall ?? (() => {});
    this.#agent = this.#openAgent();
    // Each pending call adds a listener; by default, Node.js warns of a leak
    // when a signal has more than ten.
    setMaxListeners(0, this.#disposeController.signal);
  }

  async get(key: string): Promise<StoredObject | undefined> {
    const response = await this.#read("get", objectPath(key));
    if (response.status === 404) {
      return undefined;
    }
    return parseRead(response, StoredObjectSchema);
  }

  create(key: string, value: unknown): Promise<number> {
    return this.#put("create", key, value, { "if-none-match": "*" });
  }

  update(key: string, value: unknown, ifVersion: number): Promise<number> {
    return this.#put("update", key, value, { "if-match": `"${ifVersion}"` });
  }

  async delete(key: string, ifVersion: number): Promise<void> {
    await this.#write("delete", key, {
      origin: this.#origin,
      method: "DELETE",
      path: objectPath(key),
      headers: { "if-match": `"${ifVersion}"` },
    });
  }

  async list(prefix: string, options: ListOptions): Promise<StoredObject[]> {
    const query = new URLSearchParams({
      prefix,
      limit: String(options.limit),
    });
    if (options.after !== undefined) {
      query.set("after", options.after);
    }
    const response = await this.#read("list", `/objects?${query}`);
    return parseRead(response, ListSchema).items;
  }

  /**
   * Resolves to undefined when no newer version was written within the timeout.
   * Rejects with `StoreUnavailableError` when the signal is aborted.
   */
  async watch(
    key: string,
    options: WatchOptions,
  ): Promise<StoredObject | undefined> {
    const query = new URLSearchParams({
      after: String(options.afterVersion),
      timeout_ms: String(options.timeoutMs),
    });
    const path = `/watch/${encodeKey(key)}?${query}`;
    const response = await this.#read("watch", path, options);
    if (response.status === 304) {
      return undefined;
    }
    return parseRead(response, StoredObjectSchema);
  }

  /**
   * Pending and later calls fail with `StoreUnavailableError`; a pending write
   * that was already sent fails with `StoreUnknownOutcomeError`.
   */
  async dispose(): Promise<void> {
    this.#disposeController.abort(
      new Error("The object store client was disposed"),
    );
    await Promise.all([...this.#agents].map((agent) => agent.destroy()));
    this.#agents.clear();
  }

  async #read(
    kind: "get" | "list" | "watch",
    path: string,
    watch?: WatchOptions,
  ): Promise<HttpResponse> {
    const request = {
      origin: this.#origin,
      method: "GET",
      path,
      headers: {},
    } as const;
    const signal = watch?.signal === undefined
      ? this.#disposeController.signal
      : AbortSignal.any([this.#disposeController.signal, watch.signal]);
    // The store may delay the response to a watch by the timeout of the watch.
    const timeoutMs = this.#requestTimeoutMs + (watch?.timeoutMs ?? 0);
    return this.#runCall(kind, request, { signal, timeoutMs }, (response) => {
      const { status } = response;
      const missing = kind === "get" && status === 404;
      const unchanged = kind === "watch" && status === 304;
      if (status !== 200 && !missing && !unchanged) {
        throw new StoreUnavailableError(
          `Object store responded with status ${status}`,
        );
      }
    });
  }

  async #put(
    kind: "create" | "update",
    key: string,
    value: unknown,
    condition: Record<string, string>,
  ): Promise<number> {
    const response = await this.#write(kind, key, {
      origin: this.#origin,
      method: "PUT",
      path: objectPath(key),
      headers: { "content-type": "application/json", ...condition },
      body: Buffer.from(JSON.stringify(value)),
    });
    const parsed = VersionSchema.safeParse(parseJson(response.body));
    if (!parsed.success) {
      throw new StoreUnknownOutcomeError(
        "Object store confirmed a write without a valid version",
      );
    }
    return parsed.data.version;
  }

  #write(
    kind: WriteKind,
    key: string,
    request: HttpRequest,
  ): Promise<HttpResponse> {
    const options = {
      signal: this.#disposeController.signal,
      timeoutMs: this.#requestTimeoutMs,
    };
    return this.#runCall(kind, request, options, (response) => {
      if (response.status !== 200 && response.status !== 204) {
        throw toWriteError(kind, key, response);
      }
    });
  }

  /**
   * Runs one call and reports it to `onCall`. `check` throws a `StoreError`
   * when the status of the response is an error.
   */
  async #runCall(
    kind: StoreCallKind,
    request: HttpRequest,
    options: Omit<HttpExchangeOptions, "maxResponseBytes">,
    check: (response: HttpResponse) => void,
  ): Promise<HttpResponse> {
    const exchange = new HttpExchange(request, {
      ...options,
      maxResponseBytes: MAX_RESPONSE_BYTES,
    });
    const agent = this.#agent;
    let outcome: StoreCall["outcome"] = "ok";
    try {
      const response = await exchange.run(agent);
      check(response);
      return response;
    } catch (cause) {
      if (cause instanceof HttpExchangeError && cause.timedOut) {
        this.#replaceAgent(agent);
      }
      const error = toStoreError(kind, cause);
      outcome = outcomeOf(error);
      throw error;
    } finally {
      this.#onCall({
        kind,
        outcome,
        sentBytes: exchange.sentBytes,
        receivedBytes: exchange.receivedBytes,
      });
    }
  }

  #openAgent(): Agent {
    // The agent needs no timeouts of its own: HttpExchange limits the duration
    // of the whole call.
    const agent = new Agent({
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: httpConnector(this.#requestTimeoutMs),
    });
    this.#agents.add(agent);
    return agent;
  }

  /**
   * Replaces the connection pool after a timeout: when one established
   * connection has stalled, the idle ones may have stalled as well, and each
   * would cost another timeout. Pending calls keep their connections.
   */
  #replaceAgent(agent: Agent): void {
    if (agent !== this.#agent || this.#disposeController.signal.aborted) {
      return;
    }
    this.#agent = this.#openAgent();
    const removeAgent = () => this.#agents.delete(agent);
    agent.close().then(removeAgent, removeAgent);
  }
}

function toStoreError(kind: StoreCallKind, cause: unknown): StoreError {
  if (!(cause instanceof HttpExchangeError)) {
    return cause as StoreError;
  }
  const isWrite = kind === "create" || kind === "update" || kind === "delete";
  const message = `Object store ${kind} failed: ${cause.message}`;
  return isWrite && cause.sent
    ? new StoreUnknownOutcomeError(message, { cause })
    : new StoreUnavailableError(message, { cause });
}

/**
 * Maps an error status of a write to a `StoreError`.
 *
 * A status of 500 and above may come from a proxy that had already forwarded
 * the write, so the outcome is unknown. A status from 400 to 499 means that the
 * write was refused.
 */
function toWriteError(
  kind: WriteKind,
  key: string,
  response: HttpResponse,
): StoreError {
  const { status } = response;
  if (status === 412) {
    return toConflictError(key, response);
  }
  if (status === 404 && kind !== "create") {
    return new StoreConflictError(key, undefined);
  }
  const message = `Object store responded to ${kind} with status ${status}`;
  return status >= 400 && status < 500
    ? new StoreUnavailableError(message)
    : new StoreUnknownOutcomeError(message);
}

function toConflictError(key: string, response: HttpResponse): StoreError {
  const value = parseJson(response.body);
  if (value === undefined || value === null) {
    return new StoreConflictError(key, undefined);
  }
  const parsed = StoredObjectSchema.safeParse(value);
  return parsed.success
    ? new StoreConflictError(key, parsed.data as StoredObject)
    : new StoreUnavailableError(
      "Object store sent a conflict (412) without a valid object",
    );
}

function outcomeOf(error: StoreError): StoreCall["outcome"] {
  if (error instanceof StoreConflictError) {
    return "conflict";
  }
  return error instanceof StoreUnknownOutcomeError ? "unknown" : "unavailable";
}

function parseRead<T>(response: HttpResponse, schema: z.ZodType<T>): T {
  const parsed = schema.safeParse(parseJson(response.body));
  if (!parsed.success) {
    throw new StoreUnavailableError(
      "Object store sent a response that does not match the schema",
    );
  }
  return parsed.data;
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    return undefined;
  }
}

function objectPath(key: string): string {
  return `/objects/${encodeKey(key)}`;
}

/** Encodes a key for a URL path. Slashes are kept as separators. */
function encodeKey(key: string): string {
  return key.split("/").map(encodeURIComponent).join("/");
}
