import {
  BLOCK_TOKENS,
  createPrefixHasher,
  type PrefixHasher,
} from "@anvildeal/core";
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { BatchScheduler } from "./batch_scheduler.js";
import { CacheEventFeed } from "./cache_event_feed.js";
import { ChatJob, type ChatRequest } from "./chat_job.js";
import { ChatJobTable } from "./chat_job_table.js";
import { executionIdOf, ExecutionLog } from "./execution_log.js";
import {
  type Exchange,
  headerOf,
  readJson,
  sendJson,
} from "./http_exchange.js";
import { HttpStandIn } from "./http_stand_in.js";
import { HttpStatusError } from "./http_status_error.js";
import { LaggedValue } from "./lagged_value.js";
import {
  DEFAULT_ENGINE_OPTIONS,
  type ModelEngineOptions,
} from "./model_engine_options.js";
import {
  CacheExportSchema,
  CacheImportSchema,
  ChatBodySchema,
  type EngineLoad,
  type EngineOrder,
  EngineOrderSchema,
  EventNumberSchema,
  type ModelEngineFaults,
  ModelEngineFaultsSchema,
  PrioritySchema,
} from "./model_engine_schemas.js";
import { PrefixCache } from "./prefix_cache.js";

/**
 * Shortest time between two load samples while requests run, except that the
 * arrival or cancellation of a request is sampled at once.
 */
const LOAD_SAMPLE_MS = 50;

const DEFAULT_MAX_TOKENS = 128;
const DEFAULT_PRIORITY = 5;

const EVENT_STREAM_HEADERS = {
  "content-type": "text/event-stream",
  "cache-control": "no-cache",
};

/** Stand-in for a model engine with continuous batching and a prefix cache. */
export class ModelEngine extends HttpStandIn {
  readonly executions = new ExecutionLog();
  readonly #options: ModelEngineOptions;
  readonly #cache: PrefixCache;
  readonly #cacheEvents: CacheEventFeed;
  readonly #scheduler: BatchScheduler;
  readonly #loadReports: LaggedValue<EngineLoad>;
  readonly #jobs = new ChatJobTable((job) => this.#onCancelled(job));
  readonly #orders: EngineOrder[] = [];
  #hasher: PrefixHasher | undefined;
  #highestFencingNumber = 0;
  #lastSampleMs = 0;

  constructor(options: Partial<ModelEngineOptions> = {}) {
    super(options.port);
    this.#options = { ...DEFAULT_ENGINE_OPTIONS, ...options };
    this.#cacheEvents = new CacheEventFeed({
      delayMs: this.#options.cacheEventDelayMs,
      lossFraction: this.#options.cacheEventLossShare,
      seed: this.#options.seed,
    });
    this.#cache = new PrefixCache(this.#options.cacheTokens, (kind, hash) => {
      this.#cacheEvents.add(
        { kind, hash: formatHash(hash), tokens: BLOCK_TOKENS },
        performance.now(),
      );
    });
    this.#scheduler = new BatchScheduler(
      this.#options,
      () => this.#sampleLoad(),
    );
    this.#loadReports = new LaggedValue(
      this.load,
      this.#options.loadReportLagMs,
    );
  }

  /** The current load, without the lag of load reports. */
  get load(): EngineLoad {
    return {
      running: this.#scheduler.running,
      waiting: this.#scheduler.waiting,
      outstanding_tokens: this.#scheduler.outstandingTokens,
      prefill_tokens_per_s: this.#scheduler.prefillTokensPerS,
      decode_tokens_per_s: this.#scheduler.decodeTokensPerS,
      max_batch: this.#options.maxBatch,
    };
  }

  override async start(): Promise<void> {
    this.#hasher = await createPrefixHasher();
    await super.start();
  }

  override async dispose(): Promise<void> {
    this.#scheduler.dispose();
    this.#jobs.dispose();
    await super.dispose();
  }

  async setFaults(faults: ModelEngineFaults): Promise<void> {
    const parsed = ModelEngineFaultsSchema.parse(faults);
    if (parsed.slow_factor !== undefined) {
      this.#scheduler.slowFactor = parsed.slow_factor;
    }
    if (parsed.paused !== undefined) {
      this.#scheduler.paused = parsed.paused;
    }
    await this.applyCommonFaults(parsed);
  }

  protected override applyFaults(body: unknown): Promise<void> {
    return this.setFaults(body as ModelEngineFaults);
  }

  protected override async handle(exchange: Exchange): Promise<void> {
    const { request, url } = exchange;
    const encodedId = /^\/v1\/streams\/([^/]+)$/.exec(url.pathname)?.[1];
    const streamId = encodedId && decodeURIComponent(encodedId);
    const call = `${request.method} ${streamId ? "/v1/streams" : url.pathname}`;
    switch (call) {
      case "POST /v1/chat/completions":
        return this.#startChat(exchange);
      case "GET /v1/streams":
        return this.#resumeStream(exchange, this.#jobs.get(streamId));
      case "DELETE /v1/streams":
        this.#jobs.cancel(this.#jobs.get(streamId));
        return sendJson(exchange, 204);
      case "GET /v1/load":
        return this.sendUnlessHanging(
          exchange,
          200,
          this.#loadReports.read(performance.now()),
        );
      case "GET /v1/cache/events":
        return this.#readCacheEvents(exchange);
      case "POST /v1/cache/export":
        return this.#exportCache(exchange);
      case "POST /v1/cache/import":
        return this.#importCache(exchange);
      case "POST /v1/orders":
        return this.#acceptOrder(exchange);
      case "GET /health":
        return sendJson(exchange, 200, { status: "ok" });
      case "GET /executions":
        return sendJson(exchange, 200, this.executions);
      case "GET /debug/state":
        return sendJson(exchange, 200, this.#debugState());
      default:
        throw new HttpStatusError(404, `No resource ${call}`);
    }
  }

  async #startChat(exchange: Exchange): Promise<void> {
    const { request, response } = exchange;
    const body = ChatBodySchema.parse(await readJson(request));
    const job = this.#createJob(
      {
        model: body.model,
        messages: body.messages,
        maxTokens: body.max_tokens ?? body.max_completion_tokens ??
          DEFAULT_MAX_TOKENS,
        continueText: body.continue_text,
        includeUsage: body.stream_options?.include_usage ?? false,
        priority: PrioritySchema.parse(
          headerOf(request, "x-priority") ?? DEFAULT_PRIORITY,
        ),
      },
      executionIdOf(request),
    );
    this.#jobs.add(job);
    this.#scheduler.add(job);
    this.#sampleLoad(true);
    if (body.stream) {
      this.#sendEvents(response, job, 0);
    } else {
      this.#sendCompletion(exchange, job);
    }
  }

  #createJob(request: ChatRequest, executionId: string | undefined): ChatJob {
    if (!this.#hasher) {
      throw new Error("The engine has not been started; call start() first");
    }
    const continued = request.continueText !== "";
    return new ChatJob(randomUUID(), request, this.#hasher, this.#cache, {
      onStart: () => this.executions.start(executionId, continued),
      onFinished: () => this.executions.complete(executionId),
    });
  }

  #sendCompletion(exchange: Exchange, job: ChatJob): void {
    const onEnd = () => {
      if (job.decodeTokens > 0) {
        sendJson(exchange, 409, { error: { message: "Stream cancelled" } });
        return;
      }
      this.sendUnlessHanging(exchange, 200, job.completion, {
        "x-stream-id": job.stream.id,
      });
    };
    this.#jobs.attach(exchange.response, job, 0, () => {}, onEnd);
  }

  #sendEvents(response: ServerResponse, job: ChatJob, from: number): void {
    response.writeHead(200, {
      ...EVENT_STREAM_HEADERS,
      "x-stream-id": job.stream.id,
    });
    // The caller needs the stream id at once, but the first event may come
    // late.
    response.flushHeaders();
    const send = (event: string) => {
      if (this.isHanging) {
        this.leaveUnanswered(response);
      } else {
        response.write(event);
      }
    };
    const onEnd = () => {
      if (this.isHanging) {
        this.leaveUnanswered(response);
      } else {
        response.end();
      }
    };
    this.#jobs.attach(response, job, from, send, onEnd);
  }

  #resumeStream(exchange: Exchange, job: ChatJob): void {
    const from = EventNumberSchema.parse(
      exchange.url.searchParams.get("from") ?? 0,
    );
    this.#sendEvents(exchange.response, job, from);
  }

  #readCacheEvents(exchange: Exchange): void {
    const after = EventNumberSchema.parse(
      exchange.url.searchParams.get("after") ?? 0,
    );
    const events = this.#cacheEvents.read(after, performance.now());
    this.sendUnlessHanging(exchange, 200, { events });
  }

  async #exportCache(exchange: Exchange): Promise<void> {
    const body = CacheExportSchema.parse(await readJson(exchange.request));
    const count = this.#cache.cachedBlocks(body.hashes.map(parseHash));
    const blocks = body.hashes.slice(0, count).map((hash) => ({
      hash,
      tokens: BLOCK_TOKENS,
    }));
    await this.#waitForTransfer(count);
    this.sendUnlessHanging(exchange, 200, { blocks });
  }

  async #importCache(exchange: Exchange): Promise<void> {
    const body = CacheImportSchema.parse(await readJson(exchange.request));
    await this.#waitForTransfer(body.blocks.length);
    this.#cache.store(body.blocks.map((block) => parseHash(block.hash)));
    this.sendUnlessHanging(exchange, 200, { imported: body.blocks.length });
  }

  async #waitForTransfer(blocks: number): Promise<void> {
    const tokens = blocks * BLOCK_TOKENS;
    await sleep(tokens * 1000 / this.#options.transferTokensPerS);
  }

  async #acceptOrder(exchange: Exchange): Promise<void> {
    const order = EngineOrderSchema.parse(await readJson(exchange.request));
    const highest = this.#highestFencingNumber;
    if (this.#options.checksFencing && order.fencing_number < highest) {
      throw new HttpStatusError(
        409,
        `Fencing number must be at least ${highest}`,
      );
    }
    this.#highestFencingNumber = Math.max(highest, order.fencing_number);
    this.#orders.push(order);
    this.sendUnlessHanging(exchange, 200, { accepted: true });
  }

  #debugState(): object {
    return {
      load: this.load,
      cached_hashes: this.#cache.hashes.map(formatHash),
      cached_tokens: this.#cache.tokens,
      cache_capacity_tokens: this.#cache.capacityTokens,
      orders: this.#orders,
      highest_fencing_number: this.#highestFencingNumber,
    };
  }

  #onCancelled(job: ChatJob): void {
    this.#scheduler.cancel(job);
    this.#sampleLoad(true);
  }

  #sampleLoad(force = this.#scheduler.running === 0): void {
    const nowMs = performance.now();
    if (force || nowMs - this.#lastSampleMs >= LOAD_SAMPLE_MS) {
      this.#lastSampleMs = nowMs;
      this.#loadReports.set(this.load, nowMs);
    }
  }
}

function formatHash(hash: bigint): string {
  return hash.toString(16).padStart(16, "0");
}

function parseHash(hex: string): bigint {
  return BigInt(`0x${hex}`);
}
