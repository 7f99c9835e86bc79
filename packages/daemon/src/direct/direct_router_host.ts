import { createServer, type Server } from "node:http";
import {
  type AttemptStall,
  canServe,
  type Clock,
  createDirectState,
  type DirectEffect,
  type DirectEvent,
  type DirectState,
  type EndpointRecord,
  isDisturbed,
  type Millis,
  ownLoads,
  reduceDirect,
  type RoutingConfig,
  type StartAttempt,
} from "@anvildeal/core";
import { EventQueue } from "../event_queue.js";
import { listen } from "../listen.js";
import type { Logger } from "../logging/index.js";
import { MetricRegistry } from "../metrics/index.js";
import { type Disposable, splitAddress } from "../net/index.js";
import { AnswerWriter } from "./answer_writer.js";
import type { CallDialect } from "./call_dialect.js";
import type { Collection } from "./collection.js";
import type { DirectSettings } from "./direct_settings.js";
import { DirectorySync } from "./directory_sync.js";
import {
  type EarlyConnections,
  type EdgeCall,
  EdgeServer,
} from "./edge_server.js";
import { EndpointAttempt } from "./endpoint_attempt.js";
import { EndpointConnections } from "./endpoint_connections.js";
import { MetricsServer } from "./metrics_server.js";
import type { SharedDocument } from "./shared_document.js";
import { WarmthKeeper } from "./warmth_keeper.js";

/** Interval of housekeeping and of the state told to peers. */
const TICK_MS: Millis = 400;

/** New callers may still arrive this long after readiness was withdrawn. */
const STOP_LISTEN_AFTER_MS: Millis = 3000;

/** A stopping process ends this long before it would be killed. */
const STOP_MARGIN_MS: Millis = 300;

const STOP_POLL_MS: Millis = 50;

/** Interval at which silent endpoints are looked for. */
const SILENCE_CHECK_MS: Millis = 100;

/** A check that comes later than this many intervals says nothing. */
const MAX_CHECK_DELAY = 2;

/** Shorter silences are not reported. */
const MIN_SILENCE_MS: Millis = 200;

export interface DirectRouterOptions {
  readonly settings: DirectSettings;
  readonly dialect: CallDialect;
  readonly configs: Collection<RoutingConfig>;
  readonly endpoints: Collection<EndpointRecord>;
  /** Where what endpoints hold is kept. */
  readonly warmthDocument: SharedDocument;
  readonly logger: Logger;
  readonly clock: Clock;
  /** Listens on the callers' address already. */
  readonly earlyConnections?: EarlyConnections;
}

/** Carries out what the reducer of a router without sidecars decides. */
export class DirectRouterHost implements Disposable {
  readonly #settings: DirectSettings;
  readonly #dialect: CallDialect;
  readonly #logger: Logger;
  readonly #clock: Clock;
  readonly #state: DirectState;
  readonly #queue: EventQueue<DirectEvent>;
  readonly #edge = new EdgeServer();
  readonly #ready: Server;
  readonly #metrics = new MetricRegistry();
  readonly #metricsServer: MetricsServer;
  readonly #connections: EndpointConnections;
  readonly #sync: DirectorySync;
  readonly #warmth: WarmthKeeper;
  readonly #writers = new Map<number, AnswerWriter>();
  readonly #attempts = new Map<string, EndpointAttempt>();
  readonly #timers = new Map<string, NodeJS.Timeout>();
  readonly #earlyConnections: EarlyConnections | undefined;
  #tick: NodeJS.Timeout | undefined;
  #silenceCheck: NodeJS.Timeout | undefined;
  #silenceCheckedMs: Millis = 0;
  #wasReady = false;

  constructor(options: DirectRouterOptions) {
    const { clock, dialect, logger, settings } = options;
    this.#settings = settings;
    this.#dialect = dialect;
    this.#logger = logger;
    this.#clock = clock;
    this.#earlyConnections = options.earlyConnections;
    this.#connections = new EndpointConnections(clock);
    this.#state = createDirectState(settings);
    this.#queue = new EventQueue((event) => {
      for (const effect of reduceDirect(this.#state, event)) {
        this.#run(effect);
      }
    });
    this.#sync = new DirectorySync({
      ...options,
      push: (event) => this.#queue.push(event),
      configInForce: () => this.#state.routes?.config,
      isSettled: () => !isDisturbed(this.#state, clock.nowMs()),
      warmEntries: () => this.#state.promptCacheIndex.entries(),
      observe: (measurement) => this.#metrics.observe(measurement),
      onAnswer: () => this.#warmth.noteStoreAnswer(),
    });
    this.#warmth = new WarmthKeeper({
      document: options.warmthDocument,
      logger,
      entries: () => this.#state.promptCacheIndex.entries(),
      onRead: (entries) =>
        this.#queue.push({ type: "prompt_cache_entries_received", entries }),
      isWriter: () => this.#sync.isFirstRouter && !this.#state.stopping,
    });
    this.#metricsServer = new MetricsServer(this.#metrics);
    this.#ready = createServer((_request, response) => {
      response.writeHead(this.#isReady() ? 200 : 503).end();
    });
    this.#edge.onCall((call) => this.#receive(call));
    this.#edge.onGone((key) =>
      this.#queue.push({ type: "caller_gone", nowMs: clock.nowMs(), key })
    );
    this.#edge.onCallerError(({ code, status }) =>
      logger.log("caller_error", { code, status })
    );
  }

  async start(): Promise<void> {
    const { callerAddress, metricsAddress, readyAddress } = this.#settings;
    this.#sync.start();
    this.#warmth.start();
    const caller = splitAddress(callerAddress);
    if (this.#earlyConnections) {
      await this.#edge.takeOver(this.#earlyConnections);
    } else {
      await this.#edge.listen(caller.host, caller.port);
    }
    if (readyAddress !== undefined) {
      const { host, port } = splitAddress(readyAddress);
      await listen(this.#ready, host, port);
    }
    if (metricsAddress !== undefined) {
      await this.#metricsServer.listen(metricsAddress);
    }
    this.#tick = setInterval(() => this.#onTick(), TICK_MS);
    this.#silenceCheck = setInterval(
      () => this.#checkSilence(),
      SILENCE_CHECK_MS,
    );
  }

  /** Takes over what may change while the process runs. */
  reload(settings: Pick<DirectSettings, "seeds">): void {
    this.#sync.setSeeds(settings.seeds);
  }

  /** Ends every request in flight, then returns. */
  async drain(): Promise<void> {
    const startedMs = this.#clock.nowMs();
    const elapsedMs = () => this.#clock.nowMs() - startedMs;
    this.#queue.push({ type: "stopping", nowMs: startedMs });
    this.#edge.stopKeepAlive();
    this.#noteReadiness();
    const limitMs = this.#settings.stopGraceMs - STOP_MARGIN_MS;
    let listening = true;
    while (elapsedMs() < limitMs) {
      if (listening && elapsedMs() >= STOP_LISTEN_AFTER_MS) {
        listening = false;
        this.#edge.closeIdle();
      }
      if (!listening && this.#writers.size === 0) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, STOP_POLL_MS));
    }
  }

  dispose(): void {
    clearInterval(this.#tick);
    clearInterval(this.#silenceCheck);
    for (const timer of this.#timers.values()) {
      clearTimeout(timer);
    }
    this.#sync.dispose();
    this.#warmth.dispose();
    this.#edge.dispose();
    this.#ready.close();
    this.#ready.closeAllConnections();
    this.#metricsServer.dispose();
    this.#connections.dispose();
  }

  #isReady(): boolean {
    return canServe(this.#state);
  }

  #noteReadiness(): void {
    const ready = this.#isReady();
    if (ready !== this.#wasReady) {
      this.#wasReady = ready;
      this.#logger.log("readiness_changed", {
        ready,
        config_version: this.#state.routes?.version,
        endpoints: this.#state.directory.size,
      });
    }
  }

  #onTick(): void {
    this.#queue.push({ type: "tick", nowMs: this.#clock.nowMs() });
    this.#connections.closeExpired();
    this.#sync.tell(ownLoads(this.#state));
    this.#warmth.maintain();
    this.#noteReadiness();
  }

  #checkSilence(): void {
    const nowMs = this.#clock.nowMs();
    const sinceLastMs = nowMs - this.#silenceCheckedMs;
    this.#silenceCheckedMs = nowMs;
    if (sinceLastMs > SILENCE_CHECK_MS * MAX_CHECK_DELAY) {
      // This process stood still; bytes may wait to be read.
      return;
    }
    const heardMs = new Map<string, Millis>();
    const attempts: AttemptStall[] = [];
    for (const running of this.#attempts.values()) {
      const { attempt, endpointId, key } = running.effect;
      const lastMs = heardMs.get(endpointId) ?? running.heardMs;
      heardMs.set(endpointId, Math.max(lastMs, running.heardMs));
      const quietMs = nowMs - running.heardMs;
      if (running.flowing && quietMs >= MIN_SILENCE_MS) {
        attempts.push({ key, attempt, idleMs: quietMs });
      }
    }
    const endpoints = [...heardMs]
      .map(([endpointId, lastMs]) => ({ endpointId, idleMs: nowMs - lastMs }))
      .filter(({ idleMs: quietMs }) => quietMs >= MIN_SILENCE_MS);
    if (attempts.length + endpoints.length > 0) {
      this.#queue.push({
        type: "stalls_observed",
        nowMs,
        busyEndpoints: heardMs.size,
        endpoints,
        attempts,
      });
    }
  }

  #receive({ body, key, request, response }: EdgeCall): void {
    const writer = new AnswerWriter(
      request,
      response,
      body,
      this.#dialect.lastEventIdOf(request),
    );
    this.#writers.set(key, writer);
    this.#queue.push({
      type: "call_received",
      nowMs: this.#clock.nowMs(),
      key,
      call: this.#dialect.readCall(request, body.length),
    });
  }

  #run(effect: DirectEffect): void {
    switch (effect.type) {
      case "start_attempt":
        this.#startAttempt(effect);
        break;
      case "relay":
        this.#relay(effect.key, effect.attempt);
        break;
      case "discard_attempt":
        this.#attempts.get(attemptKey(effect.key, effect.attempt))
          ?.discard(effect.closeConnection);
        break;
      case "refuse":
        this.#refuse(effect);
        break;
      case "abort_answer":
        this.#writers.get(effect.key)?.breakOff();
        break;
      case "remove_request":
        this.#forget(effect.key);
        break;
      case "set_timer":
        this.#setTimer(effect.key, effect.timer, effect.delayMs);
        break;
      case "clear_timer":
        this.#clearTimer(`${effect.key}/${effect.timer}`);
        break;
      case "broadcast_prompt_cache_entry":
        this.#sync.tellWarmth(effect.entry);
        this.#warmth.noteChange();
        break;
      case "limits_changed":
        this.#edge.applyLimits(this.#state.routes!.config.limits);
        break;
      case "log":
        this.#logger.log(effect.event, effect.fields);
        break;
      case "measure":
        this.#metrics.observe(effect.measurement);
        break;
    }
  }

  #startAttempt(effect: StartAttempt): void {
    const { address, attempt, endpointId, key } = effect;
    const writer = this.#writers.get(key);
    if (!writer) {
      return;
    }
    writer.prepareResume();
    const connection = this.#connections.acquire(
      endpointId,
      address,
      effect.idempotent,
    );
    const id = attemptKey(key, attempt);
    const at = () => ({ nowMs: this.#clock.nowMs(), key, attempt });
    const running = new EndpointAttempt(
      effect,
      connection,
      this.#dialect,
      this.#clock,
      {
        head: (head) =>
          this.#queue.push({ type: "attempt_head", ...at(), head }),
        progress: () => this.#queue.push({ type: "attempt_progress", ...at() }),
        ended: () => this.#queue.push({ type: "attempt_ended", ...at() }),
        failed: (failure) =>
          this.#queue.push({
            type: "attempt_failed",
            ...at(),
            failure,
            canResume: writer.canResume,
          }),
        stale: (idleMs) => this.#connections.noteStale(idleMs),
        done: (reusable) => {
          this.#attempts.delete(id);
          if (reusable) {
            this.#connections.release(endpointId, address, connection);
          } else {
            connection.destroy();
          }
        },
      },
    );
    this.#attempts.set(id, running);
    running.start(writer);
  }

  #relay(key: number, attempt: number): void {
    const writer = this.#writers.get(key);
    const running = this.#attempts.get(attemptKey(key, attempt));
    if (writer && running) {
      running.relay(writer, this.#edge.closing);
    }
  }

  #refuse(
    { key, refusal }: Extract<DirectEffect, { type: "refuse" }>,
  ): void {
    const writer = this.#writers.get(key);
    if (!writer || writer.response.headersSent) {
      return;
    }
    const headers = this.#dialect.refusalHeaders(refusal, writer.request);
    if (refusal.retryAfterMs !== undefined) {
      headers["Retry-After"] = String(refusal.retryAfterMs / 1000);
    }
    if (this.#edge.closing) {
      headers["Connection"] = "close";
    }
    const body = `${refusal.reason}\n`;
    writer.response.writeHead(refusal.status, {
      "Content-Type": "text/plain",
      "Content-Length": String(body.length),
      "Anvildeal-Outcome": refusal.outcome,
      ...headers,
    });
    writer.response.end(body);
  }

  #forget(key: number): void {
    this.#writers.delete(key);
    this.#clearTimer(`${key}/deadline`);
    this.#clearTimer(`${key}/attempt`);
  }

  #setTimer(
    key: number,
    timer: "deadline" | "attempt",
    delayMs: Millis,
  ): void {
    const id = `${key}/${timer}`;
    this.#clearTimer(id);
    this.#timers.set(
      id,
      setTimeout(() => {
        this.#timers.delete(id);
        this.#queue.push({
          type: "timer_fired",
          nowMs: this.#clock.nowMs(),
          key,
          timer,
        });
      }, delayMs),
    );
  }

  #clearTimer(id: string): void {
    clearTimeout(this.#timers.get(id));
    this.#timers.delete(id);
  }
}

function attemptKey(key: number, attempt: number): string {
  return `${key}/${attempt}`;
}
