import type { IncomingMessage } from "node:http";
import { z } from "zod";
import {
  type Exchange,
  headerOf,
  readJson,
  sendJson,
} from "./http_exchange.js";
import { CommonFaultsSchema, HttpStandIn } from "./http_stand_in.js";
import { HttpStatusError } from "./http_status_error.js";
import { ObjectTable, type Precondition } from "./object_table.js";

/** Largest size of one value in the platform's object API. */
export const MAX_VALUE_BYTES = 1024 * 1024;

const DEFAULT_LIST_LIMIT = 1000;
const DEFAULT_WATCH_TIMEOUT_MS = 30_000;

/**
 * Selects writes to keys that start with `key_prefix`: the next `next_writes`
 * of them, or all if `next_writes` is not given.
 */
const WriteSelectorSchema = z.object({
  key_prefix: z.string().default(""),
  next_writes: z.int().positive().optional(),
});

const ObjectApiFaultsSchema = CommonFaultsSchema.extend({
  /**
   * Applies each selected write but resets its connection instead of answering;
   * null ends the fault.
   */
  drop_answers: WriteSelectorSchema.nullable().optional(),
  /**
   * Resets the connection of each selected write at once and applies the write
   * after `delay_ms` if its precondition holds by then; null ends the fault.
   */
  delay_writes: WriteSelectorSchema
    .extend({ delay_ms: z.number().nonnegative() })
    .nullable()
    .optional(),
});
export type ObjectApiFaults = z.input<typeof ObjectApiFaultsSchema>;

type CallKind = "get" | "create" | "update" | "delete" | "list" | "watch";

interface WriteSelector {
  readonly key_prefix: string;
  next_writes?: number | undefined;
}

/** Stand-in for the platform's object API. */
export class ObjectApi extends HttpStandIn {
  readonly table = new ObjectTable();
  readonly #callCounts: Record<CallKind, number> = {
    get: 0,
    create: 0,
    update: 0,
    delete: 0,
    list: 0,
    watch: 0,
  };
  readonly #delayedWrites = new Set<NodeJS.Timeout>();
  #pendingWatches = 0;
  #dropAnswers: WriteSelector | undefined;
  #delayWrites: (WriteSelector & { readonly delay_ms: number }) | undefined;

  constructor(options: { readonly port?: number } = {}) {
    super(options.port);
  }

  /**
   * Returns the numbers of calls since the start; `calls.watch` includes
   * pending watches.
   */
  get stats(): {
    total: number;
    calls: Record<CallKind, number>;
    pending_watches: number;
  } {
    const total = Object.values(this.#callCounts).reduce(
      (sum, n) => sum + n,
      0,
    );
    return {
      total,
      calls: { ...this.#callCounts },
      pending_watches: this.#pendingWatches,
    };
  }

  async setFaults(faults: ObjectApiFaults): Promise<void> {
    const parsed = ObjectApiFaultsSchema.parse(faults);
    if (parsed.drop_answers !== undefined) {
      this.#dropAnswers = parsed.drop_answers ?? undefined;
    }
    if (parsed.delay_writes !== undefined) {
      this.#delayWrites = parsed.delay_writes ?? undefined;
    }
    await this.applyCommonFaults(parsed);
  }

  override async dispose(): Promise<void> {
    for (const timer of this.#delayedWrites) {
      clearTimeout(timer);
    }
    await super.dispose();
  }

  protected override applyFaults(body: unknown): Promise<void> {
    return this.setFaults(body as ObjectApiFaults);
  }

  protected override async handle(exchange: Exchange): Promise<void> {
    const { request, url } = exchange;
    const path = decodeURIComponent(url.pathname);
    if (path === "/stats") {
      sendJson(exchange, 200, this.stats);
    } else if (path === "/objects" && request.method === "GET") {
      this.#list(exchange);
    } else if (path.startsWith("/watch/") && request.method === "GET") {
      this.#watch(exchange, path.slice("/watch/".length));
    } else if (path.startsWith("/objects/")) {
      await this.#handleObject(exchange, path.slice("/objects/".length));
    } else {
      throw new HttpStatusError(404, `No resource ${path}`);
    }
  }

  async #handleObject(exchange: Exchange, key: string): Promise<void> {
    switch (exchange.request.method) {
      case "GET":
        return this.#get(exchange, key);
      case "PUT":
        return this.#put(exchange, key);
      case "DELETE":
        return this.#delete(exchange, key);
      default:
        throw new HttpStatusError(405, "Method not allowed");
    }
  }

  #get(exchange: Exchange, key: string): void {
    this.#callCounts.get += 1;
    const row = this.table.get(key);
    if (!row) {
      throw new HttpStatusError(404, `No object ${key}`);
    }
    sendJson(exchange, 200, row);
  }

  #list(exchange: Exchange): void {
    this.#callCounts.list += 1;
    const query = exchange.url.searchParams;
    const items = this.table.list(
      query.get("prefix") ?? "",
      Number(query.get("limit") ?? DEFAULT_LIST_LIMIT),
      query.get("after") ?? "",
    );
    sendJson(exchange, 200, { items });
  }

  async #put(exchange: Exchange, key: string): Promise<void> {
    const precondition = preconditionOf(exchange.request);
    this.#callCounts[precondition === "absent" ? "create" : "update"] += 1;
    const value = await readJson(exchange.request, MAX_VALUE_BYTES);
    this.#write(exchange, key, () => {
      const result = this.table.put(key, value, precondition);
      if (result.applied) {
        return { status: 200, body: { version: result.version } };
      }
      return { status: 412, body: result.current ?? null };
    });
  }

  #delete(exchange: Exchange, key: string): void {
    const precondition = preconditionOf(exchange.request);
    if (precondition === "absent") {
      throw new HttpStatusError(428, "A delete needs If-Match with a version");
    }
    this.#callCounts.delete += 1;
    this.#write(exchange, key, () => {
      const result = this.table.delete(key, precondition);
      if (result.applied) {
        return { status: 204, body: undefined };
      }
      return result.current
        ? { status: 412, body: result.current }
        : { status: 404, body: { error: { message: `No object ${key}` } } };
    });
  }

  /**
   * Applies a write and answers it, unless an active fault delays the write or
   * drops the answer.
   */
  #write(
    exchange: Exchange,
    key: string,
    apply: () => { status: number; body: unknown },
  ): void {
    const delay = this.#delayWrites;
    if (delay && consumeWrite(delay, key)) {
      this.#applyLater(apply, delay.delay_ms);
      exchange.response.destroy();
      return;
    }
    const dropAnswer = this.#dropAnswers &&
      consumeWrite(this.#dropAnswers, key);
    const { status, body } = apply();
    if (dropAnswer) {
      exchange.response.destroy();
    } else {
      this.sendUnlessHanging(exchange, status, body);
    }
  }

  #applyLater(apply: () => unknown, delayMs: number): void {
    const timer = setTimeout(() => {
      this.#delayedWrites.delete(timer);
      apply();
    }, delayMs);
    this.#delayedWrites.add(timer);
  }

  #watch(exchange: Exchange, key: string): void {
    this.#callCounts.watch += 1;
    const query = exchange.url.searchParams;
    const after = Number(query.get("after") ?? 0);
    const timeoutMs = Number(
      query.get("timeout_ms") ?? DEFAULT_WATCH_TIMEOUT_MS,
    );
    const current = this.table.get(key);
    if (current && current.version > after) {
      sendJson(exchange, 200, current);
      return;
    }
    this.#pendingWatches += 1;
    const finish = (status: number, body?: unknown) => {
      unsubscribe();
      clearTimeout(timer);
      exchange.response.off("close", onClose);
      this.#pendingWatches -= 1;
      this.sendUnlessHanging(exchange, status, body);
    };
    const onClose = () => finish(304);
    const timer = setTimeout(() => finish(304), timeoutMs);
    const unsubscribe = this.table.subscribe(key, (row) => {
      if (row.version > after) {
        finish(200, row);
      }
    });
    exchange.response.once("close", onClose);
  }
}

/**
 * Returns whether the selector selects a write to the key; a selected write
 * uses up one of the selector's `next_writes`.
 */
function consumeWrite(selector: WriteSelector, key: string): boolean {
  if (!key.startsWith(selector.key_prefix) || selector.next_writes === 0) {
    return false;
  }
  if (selector.next_writes !== undefined) {
    selector.next_writes -= 1;
  }
  return true;
}

function preconditionOf(request: IncomingMessage): Precondition {
  if (headerOf(request, "if-none-match") === "*") {
    return "absent";
  }
  const version = /^"(\d+)"$/.exec(headerOf(request, "if-match") ?? "");
  if (!version) {
    throw new HttpStatusError(
      428,
      "A write needs If-None-Match: * or If-Match with a version",
    );
  }
  return Number(version[1]);
}
