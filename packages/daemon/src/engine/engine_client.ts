import {
  type EngineCall,
  type EngineDialect,
  isPlainEventStream,
  type Millis,
  type Order,
  type SidecarEvent,
  streamHeadOf,
  type SubmitMessage,
  type TokenUsage,
} from "@anvildeal/core";
import { Agent, type Dispatcher } from "undici";
import { type Disposable, httpConnector } from "../net/index.js";
import { readText } from "../read_text.js";
import { ChatEventReader, usageOf } from "./chat_event_reader.js";
import { EngineError } from "./engine_error.js";

/**
 * A stream without data for this long is resumed over a new connection. Also
 * the timeout of health checks.
 */
const STALL_TIMEOUT_MS: Millis = 2000;

const CONNECT_TIMEOUT_MS: Millis = 10_000;

/**
 * Limit of the part of a response that is buffered to read the token usage from
 * it.
 */
const MAX_USAGE_BODY_BYTES = 1024 * 1024;

/** Limit of the answer to an order. */
const MAX_ORDER_ANSWER_BYTES = 64 * 1024;

/** Limit of a list of cache events, which has some 100 bytes for each. */
const MAX_CACHE_EVENTS_BYTES = 8 * 1024 * 1024;

const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "content-length",
  "keep-alive",
  "transfer-encoding",
  "upgrade",
]);

/** Events of a call that the client reports. */
export type CallEvent = Extract<
  SidecarEvent,
  { type: "call_head" | "call_data" | "call_ended" | "call_failed" }
>;

/** Receives the events of calls; the host adds the time. */
export type CallListener = (
  event: CallEvent extends infer E
    ? E extends unknown ? Omit<E, "nowMs"> : never
    : never,
) => void;

interface RunningCall {
  readonly controller: AbortController;
  body: Dispatcher.ResponseData["body"] | undefined;
  /** Id by which the stream is resumed and cancelled at the engine. */
  streamId: string | undefined;
  paused: boolean;
}

/** Calls the endpoint over HTTP and reports the responses as events. */
export class EngineClient implements Disposable {
  readonly #url: string;
  readonly #listener: CallListener;
  readonly #calls = new Map<string, RunningCall>();
  /**
   * Opens a connection for each request. On one that is used again, an answer that
   * the endpoint writes twice would be taken for the answer to the next request.
   */
  readonly #agent = new Agent({
    connections: 256,
    pipelining: 0,
    connect: httpConnector(CONNECT_TIMEOUT_MS),
  });
  #dialect: EngineDialect;

  constructor(url: string, dialect: EngineDialect, listener: CallListener) {
    this.#url = url;
    this.#dialect = dialect;
    this.#listener = listener;
  }

  /** Sets the HTTP dialect of the endpoint for later calls. */
  setDialect(dialect: EngineDialect): void {
    this.#dialect = dialect;
  }

  /** Starts a call; its progress and result are reported to the listener. */
  start(attemptId: string, submit: SubmitMessage): void {
    const call = {
      controller: new AbortController(),
      body: undefined,
      streamId: undefined,
      paused: false,
    };
    this.#calls.set(attemptId, call);
    void this.#runCall(attemptId, submit, call).catch((error: unknown) => {
      if (!call.controller.signal.aborted) {
        this.#listener({
          type: "call_failed",
          attemptId,
          mayHaveRun: mayHaveRun(error),
          reason: error instanceof Error ? error.message : String(error),
        });
      }
    }).finally(() => this.#calls.delete(attemptId));
  }

  /**
   * Aborts a call and cancels its stream at the engine. No further events of
   * the call are reported.
   */
  abort(attemptId: string): void {
    const call = this.#calls.get(attemptId);
    call?.controller.abort();
    const path = call?.streamId === undefined
      ? undefined
      : this.#dialect.cancelPath(call.streamId);
    if (path !== undefined) {
      void this.#agent.request({
        origin: this.#url,
        path,
        method: "DELETE",
      }).then(({ body }) => body.dump()).catch(() => {
        // The engine releases the slot by itself when the stream has no reader.
      });
    }
  }

  /** Pauses or resumes reading the response of a call. */
  setPaused(attemptId: string, paused: boolean): void {
    const call = this.#calls.get(attemptId);
    if (!call) {
      return;
    }
    call.paused = paused;
    if (paused) {
      call.body?.pause();
    } else {
      call.body?.resume();
    }
  }

  /** Whether `/health` responds within 2 s with a status below 500. */
  async isHealthy(): Promise<boolean> {
    try {
      const { statusCode, body } = await this.#agent.request({
        origin: this.#url,
        path: "/health",
        method: "GET",
        headersTimeout: STALL_TIMEOUT_MS,
        bodyTimeout: STALL_TIMEOUT_MS,
      });
      await body.dump();
      return statusCode < 500;
    } catch {
      return false;
    }
  }

  /**
   * Sends an order, such as to drain or to load a model, to the endpoint. Never
   * rejects; `reason` is the first 200 characters of the response body or of the
   * error.
   */
  async runOrder(order: Order): Promise<{ accepted: boolean; reason: string }> {
    try {
      const { statusCode, body } = await this.#agent.request({
        origin: this.#url,
        path: "/v1/orders",
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({
          kind: order.kind,
          parameters: order.parameters,
          fencing_number: order.fencingNumber,
        }),
      });
      const reason = await readText(body, MAX_ORDER_ANSWER_BYTES);
      return { accepted: statusCode < 300, reason: reason.slice(0, 200) };
    } catch (error) {
      return { accepted: false, reason: String(error).slice(0, 200) };
    }
  }

  /**
   * Reads the cache events whose sequence number is above `after`. Resolves to
   * undefined when the call fails or the endpoint does not report cache events.
   */
  async readCacheEvents(after: number): Promise<CacheEvents | undefined> {
    try {
      const { statusCode, body } = await this.#agent.request({
        origin: this.#url,
        path: `/v1/cache/events?after=${after}`,
        method: "GET",
      });
      if (statusCode !== 200) {
        await body.dump();
        return undefined;
      }
      const text = await readText(body, MAX_CACHE_EVENTS_BYTES);
      return JSON.parse(text) as CacheEvents;
    } catch {
      return undefined;
    }
  }

  dispose(): void {
    for (const { controller } of this.#calls.values()) {
      controller.abort();
    }
    void this.#agent.destroy().catch(() => {});
  }

  async #runCall(
    attemptId: string,
    submit: SubmitMessage,
    call: RunningCall,
  ): Promise<void> {
    const engineCall = this.#dialect.composeCall(submit);
    const { signal } = call.controller;
    const response = await this.#agent.request({
      origin: this.#url,
      path: engineCall.path,
      method: engineCall.method as Dispatcher.HttpMethod,
      headers: { ...engineCall.headers },
      body: engineCall.body ?? null,
      signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const { streamIdHeader } = this.#dialect;
    if (streamIdHeader !== undefined) {
      call.streamId = response.headers[streamIdHeader]?.toString();
    }
    if (submit.kind === "chat" && response.statusCode >= 500) {
      await response.body.dump();
      throw new EngineError(
        `engine responded with status ${response.statusCode}`,
        true,
      );
    }
    this.#listener({
      type: "call_head",
      attemptId,
      status: response.statusCode,
      headers: endToEndHeaders(response.headers),
    });
    if (engineCall.isChatStream && response.statusCode === 200) {
      await this.#readStream(attemptId, call, engineCall, response.body);
    } else {
      await this.#readBody(attemptId, call, submit, response.body);
    }
  }

  async #readBody(
    attemptId: string,
    call: RunningCall,
    submit: SubmitMessage,
    body: Dispatcher.ResponseData["body"],
  ): Promise<void> {
    call.body = body;
    const usageParts: Uint8Array[] = [];
    let usageBytes = 0;
    for await (const part of body) {
      const data = new Uint8Array(part as Buffer);
      if (submit.kind === "chat" && usageBytes < MAX_USAGE_BODY_BYTES) {
        usageParts.push(data);
        usageBytes += data.length;
      }
      this.#listener({ type: "call_data", attemptId, data, outputTokens: 0 });
    }
    this.#listener({
      type: "call_ended",
      attemptId,
      usage: submit.kind === "chat" ? parseUsage(usageParts) : undefined,
    });
  }

  /** Reads a chat stream; resumes it over a new connection when it stalls. */
  async #readStream(
    attemptId: string,
    call: RunningCall,
    engineCall: EngineCall,
    firstBody: Dispatcher.ResponseData["body"],
  ): Promise<void> {
    const reader = new ChatEventReader(engineCall.includeUsage);
    let body = firstBody;
    for (;;) {
      call.body = body;
      const hasEnded = await this.#readUntilEndOrStall(
        attemptId,
        call,
        body,
        reader,
      );
      if (reader.done) {
        this.#listener({ type: "call_ended", attemptId, usage: reader.usage });
        return;
      }
      if (call.controller.signal.aborted) {
        return;
      }
      body = await this.#resumeStream(call, reader, hasEnded);
    }
  }

  /**
   * Resolves to true when the body has ended or its connection has failed, and
   * to false when the body has stalled.
   */
  async #readUntilEndOrStall(
    attemptId: string,
    call: RunningCall,
    body: Dispatcher.ResponseData["body"],
    reader: ChatEventReader,
  ): Promise<boolean> {
    let stalled = false;
    const onStall = () => {
      if (call.paused) {
        timer.refresh();
        return;
      }
      stalled = true;
      body.destroy();
    };
    const timer = setTimeout(onStall, STALL_TIMEOUT_MS);
    try {
      for await (const part of body) {
        timer.refresh();
        const { data, outputTokens } = reader.push(part as Buffer);
        if (data.length > 0) {
          this.#listener({ type: "call_data", attemptId, data, outputTokens });
        }
      }
      return !stalled;
    } catch (error) {
      if (call.controller.signal.aborted || error instanceof EngineError) {
        throw error;
      }
      return !stalled;
    } finally {
      clearTimeout(timer);
    }
  }

  async #resumeStream(
    call: RunningCall,
    reader: ChatEventReader,
    hasEnded: boolean,
  ): Promise<Dispatcher.ResponseData["body"]> {
    const path = call.streamId === undefined
      ? undefined
      : this.#dialect.resumePath(call.streamId, reader.eventCount);
    if (path === undefined) {
      throw new EngineError(
        hasEnded
          ? "engine ended the stream before its final event"
          : "engine stream stalled",
        true,
      );
    }
    reader.discardPartialEvent();
    const response = await this.#agent.request({
      origin: this.#url,
      path,
      method: "GET",
      signal: call.controller.signal,
      headersTimeout: STALL_TIMEOUT_MS,
      bodyTimeout: 0,
    });
    const head = streamHeadOf(response.statusCode, response.headers);
    if (!isPlainEventStream(head)) {
      await response.body.dump();
      throw new EngineError(
        `engine responded with status ${head.status}, type ${head.contentType} to the resumption of a stream`,
        true,
      );
    }
    return response.body;
  }
}

/** Changes of the prompt cache of a model engine. */
export interface CacheEvents {
  readonly events: readonly {
    readonly seq: number;
    readonly kind: "stored" | "evicted";
    /**
     * Hash of the prompt prefix that ends with the stored or evicted block, in
     * hexadecimal digits.
     */
    readonly hash: string;
    readonly tokens: number;
  }[];
}

function mayHaveRun(error: unknown): boolean {
  if (error instanceof EngineError) {
    return error.mayHaveRun;
  }
  const code = (error as { code?: string }).code;
  return code !== "ECONNREFUSED" && code !== "UND_ERR_CONNECT_TIMEOUT";
}

function endToEndHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
  const endToEnd: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !HOP_BY_HOP_HEADERS.has(name)) {
      endToEnd[name] = Array.isArray(value) ? value.join(", ") : value;
    }
  }
  return endToEnd;
}

function parseUsage(parts: readonly Uint8Array[]): TokenUsage | undefined {
  try {
    const body = JSON.parse(Buffer.concat(parts).toString()) as {
      usage?: Parameters<typeof usageOf>[0];
    };
    return body.usage ? usageOf(body.usage) : undefined;
  } catch {
    return undefined;
  }
}
