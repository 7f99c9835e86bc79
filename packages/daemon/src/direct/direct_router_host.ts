import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import {
  canServe,
  type Clock,
  createDirectState,
  type DirectEffect,
  type DirectEvent,
  type DirectState,
  type EndpointRecord,
  headRefusal,
  isDirectoryUnreliable,
  limitReports,
  localInFlightByEndpoint,
  type Millis,
  reduceDirect,
  type RoutingConfig,
  type StartAttempt,
  STOP_MARGIN_MS,
} from "@anvildeal/core";
import {
  BOUNDED_MESSAGES,
  boundServer,
  EvictionLog,
  type EvictionReason,
  SMALL_SERVER_BOUNDS,
} from "../caller_memory/index.js";
import { EventQueue } from "../event_queue.js";
import { HoldUpWatch } from "../hold_up_watch.js";
import { listen } from "../listen.js";
import { FailureLog, type Logger } from "../logging/index.js";
import { MetricRegistry } from "../metrics/index.js";
import { type Disposable, splitAddress } from "../net/index.js";
import { nextPoll } from "../next_poll.js";
import { AnswerWriter } from "./answer_writer.js";
import type { CallDialect } from "./call_dialect.js";
import type { Collection } from "./collection.js";
import { lazyContentDigest } from "./content_digest.js";
import { directGauges } from "./direct_gauges.js";
import type { DirectSettings } from "./direct_settings.js";
import type { DocumentFolder } from "./document_folder.js";
import { DirectorySync } from "./directory_sync.js";
import {
  type EarlyConnections,
  type EdgeCall,
  type EdgeRefusal,
  EdgeServer,
} from "./edge_server.js";
import { EndpointAttempt } from "./endpoint_attempt.js";
import { EndpointCheck } from "./endpoint_check.js";
import { EndpointConnectionPool } from "./endpoint_connection_pool.js";
import { evacuationGauges } from "./evacuation_gauges.js";
import type { EvacuationRecord } from "./evacuation_sync.js";
import { MetricsServer } from "./metrics_server.js";
import { RequestTimers } from "./request_timers.js";
import type { SharedDocument } from "./shared_document.js";
import { StallCheck } from "./stall_check.js";
import { SuspectPersistence } from "./suspect_persistence.js";
import { PromptCachePersistence } from "./prompt_cache_persistence.js";

/** Interval of periodic maintenance and of the state sent to peers. */
const TICK_INTERVAL_MS: Millis = 400;

/** New callers may still connect this long after the readiness check fails. */
const STOP_LISTENING_AFTER_MS: Millis = 3000;

/** Time for the first request of a connection that was accepted last. */
const LAST_REQUESTS_MS: Millis = 100;

/** Maximum time for accepting the connections that wait when the port closes. */
const MAX_ACCEPT_MS: Millis = 1000;

/** Time for callers' connections to take the answers that are written last. */
const LAST_ANSWERS_MS: Millis = 150;

const STOP_POLL_MS: Millis = 50;

export interface DirectRouterOptions {
  readonly settings: DirectSettings;
  readonly dialect: CallDialect;
  readonly configs: Collection<RoutingConfig>;
  readonly endpoints: Collection<EndpointRecord>;
  /** Orders to evacuate a failure domain. */
  readonly evacuations?: Collection<EvacuationRecord>;
  /** Makes further calls to the directory use new connections. */
  readonly renewDirectoryConnections: (reason: string) => void;
  /** Makes further calls for orders to evacuate use new connections. */
  readonly useNewEvacuationConnections?: () => void;
  /** Holds the prompt cache contents of the endpoints. */
  readonly promptCacheDocument: SharedDocument;
  /** Holds under which requests endpoints crashed. */
  readonly suspectDocument: SharedDocument;
  /** Holds which software versions began streams. */
  readonly streamFolder: DocumentFolder;
  readonly logger: Logger;
  readonly clock: Clock;
  /** Server that already listens on the callers' address, and its connections. */
  readonly earlyConnections?: EarlyConnections;
}

/**
 * Runs a router that sends requests to endpoints without sidecars: feeds events
 * to the reducer and carries out its effects.
 */
export class DirectRouterHost implements Disposable {
  readonly #settings: DirectSettings;
  readonly #dialect: CallDialect;
  readonly #logger: Logger;
  readonly #clock: Clock;
  readonly #state: DirectState;
  readonly #queue: EventQueue<DirectEvent, DirectEffect>;
  readonly #failureLog: FailureLog;
  readonly #edge: EdgeServer;
  readonly #readinessServer: Server;
  readonly #metrics = new MetricRegistry();
  readonly #metricsServer: MetricsServer;
  readonly #connections: EndpointConnectionPool;
  readonly #endpointCheck = new EndpointCheck();
  readonly #directorySync: DirectorySync;
  readonly #promptCachePersistence: PromptCachePersistence;
  readonly #suspectPersistence: SuspectPersistence;
  readonly #writers = new Map<number, AnswerWriter>();
  readonly #attempts = new Map<string, EndpointAttempt>();
  readonly #timers: RequestTimers;
  readonly #stallCheck: StallCheck;
  readonly #earlyConnections: EarlyConnections | undefined;
  #tickTimer: NodeJS.Timeout | undefined;
  #reviewTimer: NodeJS.Timeout | undefined;
  #placementTurn: NodeJS.Immediate | undefined;
  readonly #holdUpWatch = new HoldUpWatch(TICK_INTERVAL_MS);
  #loggedReady = false;
  /** The longest time by which a wait of the stop took longer than it should. */
  #longestDelayMs: Millis = 0;

  constructor(options: DirectRouterOptions) {
    const { clock, dialect, logger, settings } = options;
    this.#settings = settings;
    this.#dialect = dialect;
    this.#logger = logger;
    this.#clock = clock;
    this.#earlyConnections = options.earlyConnections;
    const evictionLog = new EvictionLog({
      logger,
      clock,
      observe: (measurement) => this.#metrics.observe(measurement),
    });
    this.#edge = new EdgeServer(clock, {
      callerMemoryBytes: settings.callerMemoryBytes,
      maxPipelinedRequests: settings.maxPipelinedRequests,
      maxConnections: settings.maxCallerConnections,
      headRefusal: (request) =>
        headRefusal(this.#state, dialect.readCall(request, 0), clock.nowMs()),
      onEvict: (eviction) => evictionLog.report(eviction),
    });
    this.#connections = new EndpointConnectionPool(
      clock,
      (event) =>
        this.#queue.push({
          type: "endpoint_disconnected",
          nowMs: clock.nowMs(),
          ...event,
        }),
    );
    this.#state = createDirectState({
      ...settings,
      awaitsSuspects: true,
      expectsPeers: settings.seeds.some((seed) =>
        seed !== settings.peerAddress
      ),
    });
    for (const gauge of directGauges(this.#state, clock)) {
      this.#metrics.addGauge(gauge);
    }
    this.#failureLog = new FailureLog(logger, clock);
    this.#queue = new EventQueue({
      reduce: (event) => reduceDirect(this.#state, event),
      runEffect: (effect) => this.#runEffect(effect),
      onFailure: (error, event, effect) =>
        this.#handleFailure(error, event, effect),
    });
    this.#timers = new RequestTimers((key, timer) =>
      this.#queue.push({
        type: "timer_fired",
        nowMs: clock.nowMs(),
        key,
        timer,
      })
    );
    this.#stallCheck = new StallCheck({
      clock,
      attempts: () => this.#attempts.values(),
      push: (event) => this.#queue.push(event),
    });
    this.#directorySync = new DirectorySync({
      ...options,
      push: (event) => this.#queue.push(event),
      configInForce: () => this.#state.configIndex?.config,
      isDirectoryReliable: () =>
        !isDirectoryUnreliable(this.#state, clock.nowMs()),
      versions: () => this.#state.versionHistory.all(clock.nowMs()),
      streamOriginOf: (callId) => this.#state.streamOrigins.get(callId),
      promptCacheEntries: () => this.#state.promptCacheIndex.entries(),
      observe: (measurement) => this.#metrics.observe(measurement),
      renewConnections: options.renewDirectoryConnections,
      earliestSentMs: (awaitedSinceMs) =>
        this.#holdUpWatch.earliestSentMs(clock.nowMs(), awaitedSinceMs),
      limits: () => limitReports(this.#state),
      suspects: () => this.#state.crashSuspects.reports(clock.nowMs()),
      onAnswer: () => {
        this.#promptCachePersistence.handleDirectoryAnswer();
        this.#suspectPersistence.handleDirectoryAnswer();
      },
    });
    this.#suspectPersistence = new SuspectPersistence({
      document: options.suspectDocument,
      logger,
      clock,
      reports: () => this.#state.crashSuspects.reports(clock.nowMs()),
      hasBlocked: () => this.#state.crashSuspects.hasBlocked,
      hasRecentEvidence: () =>
        this.#state.crashSuspects.hasRecentEvidence(clock.nowMs()),
      onRead: (reports) =>
        this.#queue.push({
          type: "suspects_received",
          nowMs: clock.nowMs(),
          reports,
          source: "directory",
        }),
      isWriter: () => this.#directorySync.hasLowestConnectedId,
    });
    this.#promptCachePersistence = new PromptCachePersistence({
      document: options.promptCacheDocument,
      logger,
      entries: () => this.#state.promptCacheIndex.entries(),
      onRead: (entries) =>
        this.#queue.push({ type: "prompt_cache_entries_received", entries }),
      isWriter: () =>
        this.#directorySync.hasLowestNodeId && !this.#state.stopping,
    });
    evacuationGauges(this.#state)
      .forEach((gauge) => this.#metrics.addGauge(gauge));
    const onSmallServerClose = (socket: Socket, reason: EvictionReason) =>
      evictionLog.reportConnection(socket, reason, this.#edge.heldBytes);
    this.#metricsServer = new MetricsServer(this.#metrics, onSmallServerClose);
    this.#readinessServer = createServer(
      BOUNDED_MESSAGES,
      (_request, response) => {
        response.writeHead(this.#isReady() ? 200 : 503).end();
      },
    );
    boundServer(
      this.#readinessServer,
      SMALL_SERVER_BOUNDS,
      onSmallServerClose,
    );
    this.#edge.onCall((call) => this.#handleCall(call));
    this.#edge.onRefusal((refusal) => this.#handleRefusal(refusal));
    this.#edge.onDisconnect((key) =>
      this.#queue.push({ type: "caller_gone", nowMs: clock.nowMs(), key })
    );
    this.#edge.onCallerError(({ code, status }) =>
      logger.log("caller_error", { code, status })
    );
  }

  async start(): Promise<void> {
    const { callerAddress, metricsAddress, readyAddress } = this.#settings;
    this.#directorySync.start();
    this.#promptCachePersistence.start();
    this.#suspectPersistence.start();
    const caller = splitAddress(callerAddress);
    if (this.#earlyConnections) {
      await this.#edge.adopt(this.#earlyConnections);
    } else {
      await this.#edge.listen(caller.host, caller.port);
    }
    if (readyAddress !== undefined) {
      const { host, port } = splitAddress(readyAddress);
      await listen(this.#readinessServer, host, port);
    }
    if (metricsAddress !== undefined) {
      await this.#metricsServer.listen(metricsAddress);
    }
    this.#holdUpWatch.tick(this.#clock.nowMs());
    this.#tickTimer = setInterval(() => this.#onTick(), TICK_INTERVAL_MS);
    this.#stallCheck.start();
  }

  /** Keeps the process of this router running when an error is not handled. */
  logUnhandledErrors(): void {
    this.#failureLog.logUnhandledErrors();
  }

  /** Applies the settings that may change while the process runs. */
  reload(settings: Pick<DirectSettings, "seeds">): void {
    this.#directorySync.setSeeds(settings.seeds);
  }

  /**
   * Completes the requests in flight. The router keeps listening until callers
   * have had time to notice that the readiness check fails, and accepts all
   * connections that were opened until then. Each caller is told
   * with its next answer that its connection ends; connections on which none was
   * due are closed at the end. What has not ended shortly before the grace time
   * is over is answered or broken off then.
   *
   * @param signal Name of the signal, for the log.
   * @param receivedMs When the signal came, if that was before the router was created.
   */
  async drain(signal?: string, receivedMs?: Millis): Promise<void> {
    const nowMs = this.#clock.nowMs();
    // The process is killed when the grace time since the signal is over.
    const startedMs = receivedMs ?? this.#holdUpWatch.earliestMs(nowMs);
    const elapsedMs = () => this.#clock.nowMs() - startedMs;
    this.#logger.log("process_stopping", {
      signal,
      grace_ms: this.#settings.stopGraceMs,
      ready: this.#isReady(),
      held_up_ms: Math.round(elapsedMs()),
      ...this.#openCounts(),
    });
    this.#queue.push({ type: "stopping", nowMs: startedMs });
    this.#edge.stopKeepAlive();
    this.#logReadinessChange();
    const limitMs = this.#settings.stopGraceMs - STOP_MARGIN_MS;
    const stopListeningMs = Math.min(
      STOP_LISTENING_AFTER_MS,
      limitMs - LAST_REQUESTS_MS,
    );
    await this.#waitUntil(() => elapsedMs() >= stopListeningMs);
    await this.#edge.stopListening(
      Math.max(
        LAST_REQUESTS_MS,
        Math.min(MAX_ACCEPT_MS, limitMs - elapsedMs()),
      ),
    );
    const closedMs = elapsedMs();
    this.#logger.log("listening_stopped", {
      after_ms: Math.round(closedMs),
      ...this.#openCounts(),
    });
    await this.#waitUntil(() =>
      elapsedMs() >= limitMs ||
      elapsedMs() >= closedMs + LAST_REQUESTS_MS &&
        !this.#edge.hasOpenAnswers
    );
    this.#queue.push({ type: "stop_time_over", nowMs: this.#clock.nowMs() });
    await this.#waitUntil(() =>
      elapsedMs() >= limitMs + LAST_ANSWERS_MS || !this.#edge.hasOpenAnswers
    );
    this.#logger.log("process_stopped", {
      took_ms: Math.round(elapsedMs()),
      longest_delay_ms: Math.round(this.#longestDelayMs),
      ...this.#openCounts(),
    });
    this.#edge.closeIdle();
  }

  /**
   * Resolves when the condition holds, which is judged after all that has arrived
   * is read: timers that are overdue in a process that was held up run first.
   */
  async #waitUntil(condition: () => boolean): Promise<void> {
    for (;;) {
      await nextPoll();
      if (condition()) {
        return;
      }
      const dueMs = this.#clock.nowMs() + STOP_POLL_MS;
      await new Promise((resolve) => setTimeout(resolve, STOP_POLL_MS));
      this.#longestDelayMs = Math.max(
        this.#longestDelayMs,
        this.#clock.nowMs() - dueMs,
      );
    }
  }

  #openCounts(): { requests: number; connections: number } {
    return {
      requests: this.#edge.openAnswerCount,
      connections: this.#edge.connectionCount,
    };
  }

  dispose(): void {
    clearInterval(this.#tickTimer);
    clearTimeout(this.#reviewTimer);
    clearImmediate(this.#placementTurn);
    this.#stallCheck.dispose();
    this.#timers.dispose();
    this.#directorySync.dispose();
    this.#promptCachePersistence.dispose();
    this.#suspectPersistence.dispose();
    this.#edge.dispose();
    this.#readinessServer.close();
    this.#readinessServer.closeAllConnections();
    this.#metricsServer.dispose();
    this.#connections.dispose();
    this.#endpointCheck.dispose();
  }

  #isReady(): boolean {
    return canServe(this.#state);
  }

  #logReadinessChange(): void {
    const ready = this.#isReady();
    if (ready !== this.#loggedReady) {
      this.#loggedReady = ready;
      this.#logger.log("readiness_changed", {
        ready,
        config_version: this.#state.configIndex?.version,
        endpoints: this.#state.directory.size,
      });
    }
  }

  #onTick(): void {
    this.#holdUpWatch.tick(this.#clock.nowMs());
    this.#queue.push({ type: "tick", nowMs: this.#clock.nowMs() });
    this.#connections.closeExpired();
    this.#directorySync.tick(localInFlightByEndpoint(this.#state));
    this.#promptCachePersistence.writeIfDue();
    this.#suspectPersistence.writeIfDue();
    this.#suspectPersistence.refreshIfDue();
    this.#logReadinessChange();
  }

  /** Refuses a request whose body was not read. */
  #handleRefusal({ key, reason, request, response }: EdgeRefusal): void {
    const body = Buffer.alloc(0);
    this.#addWriter(key, request, response, body);
    this.#queue.push({
      type: "call_refused",
      nowMs: this.#clock.nowMs(),
      key,
      call: {
        ...this.#dialect.readCall(request, 0),
        contentDigest: lazyContentDigest(request, body),
      },
      reason,
    });
  }

  #addWriter(
    key: number,
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): AnswerWriter {
    const writer = new AnswerWriter(
      request,
      response,
      body,
      this.#dialect.lastEventIdOf(request),
      () => this.#edge.announceClose(response),
    );
    this.#writers.set(key, writer);
    return writer;
  }

  #handleCall(
    { body, key, lagMs, readMs, request, response }: EdgeCall,
  ): void {
    const writer = this.#addWriter(key, request, response, body);
    this.#queue.push({
      type: "call_received",
      nowMs: this.#clock.nowMs(),
      readMs,
      lagMs,
      key,
      call: {
        ...this.#dialect.readCall(request, body.length),
        contentDigest: lazyContentDigest(request, body),
        answerReport: () => writer.report,
      },
    });
  }

  #runEffect(effect: DirectEffect): void {
    switch (effect.type) {
      case "start_attempt":
        this.#startAttempt(effect);
        break;
      case "relay":
        this.#relay(effect.key, effect.attemptNumber);
        break;
      case "discard_attempt":
        this.#attempts.get(attemptKey(effect.key, effect.attemptNumber))
          ?.discard(effect.closeConnection);
        break;
      case "refuse":
        this.#refuse(effect);
        break;
      case "abort_answer":
        this.#writers.get(effect.key)?.abort();
        break;
      case "remove_request":
        this.#removeRequest(effect.key);
        break;
      case "set_timer":
        this.#timers.set(effect.key, effect.timer, effect.delayMs);
        break;
      case "clear_timer":
        this.#timers.clear(effect.key, effect.timer);
        break;
      case "close_idle_connections":
        this.#connections.closeUnused(effect.endpointId, effect.unusedMs);
        break;
      case "broadcast_prompt_cache_entry":
        this.#directorySync.broadcastPromptCacheEntry(effect.entry);
        this.#promptCachePersistence.markChanged();
        break;
      case "store_documents":
        this.#promptCachePersistence.markChanged();
        this.#suspectPersistence.markChanged();
        this.#directorySync.storeStreamRecordsAgain();
        break;
      case "share_limits":
        this.#directorySync.shareLimits(effect.limits);
        break;
      case "review_suspects":
        this.#reviewTimer ??= setTimeout(() => {
          this.#reviewTimer = undefined;
          this.#queue.push({
            type: "suspects_review_due",
            nowMs: this.#clock.nowMs(),
          });
        }, effect.delayMs);
        break;
      case "schedule_placement":
        this.#schedulePlacement();
        break;
      case "share_suspects":
        this.#directorySync.shareSuspects(effect.suspects, effect.isOwn);
        this.#suspectPersistence.recordChange(effect.suspects, effect.isOwn);
        break;
      case "check_endpoint":
        void this.#checkEndpoint(effect.endpointId, effect.address);
        break;
      case "check_end":
        void this.#checkEnd(effect);
        break;
      case "announce_stream_origin":
        this.#directorySync.announceStreamOrigin(effect.callId, effect.origin);
        break;
      case "store_stream_records":
        this.#directorySync.storeStreamRecords(effect.records);
        break;
      case "read_stream_records":
        this.#directorySync.readStreamRecords();
        break;
      case "check_versions":
        this.#directorySync.checkVersions(effect.key);
        break;
      case "find_stream_origin":
        this.#directorySync.findStreamOrigin(effect.key, effect.callId);
        break;
      case "apply_limits":
        this.#edge.applyLimits(this.#state.configIndex!.config.limits);
        break;
      case "log":
        this.#logger.log(effect.event, effect.fields);
        break;
      case "measure":
        this.#metrics.observe(effect.measurement);
        break;
    }
  }

  #schedulePlacement(): void {
    const scheduledMs = this.#clock.nowMs();
    this.#placementTurn ??= setImmediate(() => {
      this.#placementTurn = undefined;
      const nowMs = this.#clock.nowMs();
      this.#queue.push({
        type: "placement_due",
        nowMs,
        lagMs: nowMs - scheduledMs,
      });
    });
  }

  /** Ends the call that an event or effect which threw belongs to, if any. */
  #handleFailure(
    error: unknown,
    event: DirectEvent,
    effect?: DirectEffect,
  ): void {
    this.#failureLog.logEvent(error, event, effect);
    if (effect?.type === "start_attempt") {
      this.#failAttempt(effect, error);
      return;
    }
    const failed = effect ?? event;
    if ("key" in failed) {
      // Its caller is told nothing of whether the request ran.
      this.#writers.get(failed.key)?.abort();
    }
  }

  /** Reports an attempt that threw when it was started. */
  #failAttempt({ attemptNumber, key }: StartAttempt, error: unknown): void {
    const running = this.#attempts.get(attemptKey(key, attemptNumber));
    running?.discard(true);
    this.#queue.push({
      type: "attempt_failed",
      nowMs: this.#clock.nowMs(),
      key,
      attemptNumber,
      failure: {
        kind: "internal",
        sent: running?.wasSent ?? false,
        detail: String(error),
      },
      canResume: this.#writers.get(key)?.canResume ?? false,
    });
  }

  #startAttempt(effect: StartAttempt): void {
    const { address, attemptNumber, endpointId, key } = effect;
    const writer = this.#writers.get(key);
    if (!writer) {
      return;
    }
    writer.prepareResume();
    const connection = this.#connections.acquire(effect);
    const id = attemptKey(key, attemptNumber);
    const eventFields = () => ({
      nowMs: this.#clock.nowMs(),
      key,
      attemptNumber,
    });
    const running = new EndpointAttempt(
      effect,
      connection,
      this.#dialect,
      this.#clock,
      {
        head: (head) =>
          this.#queue.push({ type: "attempt_head", ...eventFields(), head }),
        discardedHead: (head) =>
          this.#queue.push({
            type: "discarded_head",
            nowMs: this.#clock.nowMs(),
            endpointId,
            incarnation: effect.incarnation,
            callId: effect.callId,
            head,
          }),
        firstBodyBytes: () =>
          this.#queue.push({ type: "attempt_progress", ...eventFields() }),
        ended: () =>
          this.#queue.push({
            type: "attempt_ended",
            ...eventFields(),
            events: writer.completeEvents,
          }),
        failed: (failure) =>
          this.#queue.push({
            type: "attempt_failed",
            ...eventFields(),
            failure,
            canResume: writer.canResume,
          }),
        staleConnection: (idleMs) => this.#connections.recordStale(idleMs),
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

  async #checkEndpoint(endpointId: string, address: string): Promise<void> {
    const refusesConnections = await this.#endpointCheck.run(address);
    this.#queue.push({
      type: "endpoint_checked",
      nowMs: this.#clock.nowMs(),
      endpointId,
      refusesConnections,
    });
  }

  async #checkEnd(
    { address, delayMs, timeoutMs }: Extract<
      DirectEffect,
      { type: "check_end" }
    >,
  ): Promise<void> {
    const refusesConnections = await this.#endpointCheck.run(
      address,
      delayMs,
      timeoutMs,
    );
    this.#queue.push({
      type: "end_checked",
      nowMs: this.#clock.nowMs(),
      address,
      refusesConnections,
    });
  }

  #relay(key: number, attemptNumber: number): void {
    const writer = this.#writers.get(key);
    const running = this.#attempts.get(attemptKey(key, attemptNumber));
    if (writer && running) {
      running.relay(writer);
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
    if (this.#edge.announceClose(writer.response)) {
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

  #removeRequest(key: number): void {
    this.#writers.delete(key);
    this.#timers.clearAll(key);
  }
}

function attemptKey(key: number, attemptNumber: number): string {
  return `${key}/${attemptNumber}`;
}
