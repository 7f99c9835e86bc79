import {
  createDialect,
  createMembershipState,
  createSidecarState,
  type ExecutionDecision,
  type MembershipEvent,
  type MembershipState,
  type Message,
  type Millis,
  PlainDialect,
  type PoolPeer,
  reduceMembership,
  reduceSidecar,
  type SidecarEffect,
  type SidecarEvent,
  type SidecarSettings,
  type SidecarState,
  StoreError,
  type SubmitMessage,
} from "@anvildeal/core";
import {
  type ConfigInForce,
  ConfigSyncHost,
  InstanceListClient,
  InstanceListHost,
} from "../config_sync/index.js";
import { EngineClient } from "../engine/index.js";
import { EventQueue } from "../event_queue.js";
import { FailureLog } from "../logging/index.js";
import { ExecutionHost, type KeyedCallHandle } from "../execution/index.js";
import { JsonServer, sendJson } from "../json_server.js";
import type { Disposable } from "../net/index.js";
import { NodeServices } from "../node_services.js";
import { orderKey } from "../orders/index.js";
import { SidecarConnections } from "./sidecar_connections.js";
import { sidecarGauges, sidecarStatus } from "./sidecar_status.js";

/** Interval of the `tick` events by which the reducer checks its timeouts. */
const TICK_INTERVAL_MS: Millis = 50;
/** Interval of the health checks of the endpoint and of membership ticks. */
const HEALTH_INTERVAL_MS: Millis = 500;
const CACHE_EVENT_INTERVAL_MS: Millis = 500;
/** Delay before a failed read of the fencing number is retried. */
const FENCING_RETRY_MS: Millis = 1000;

/** Addresses that a started sidecar listens on. */
export interface SidecarAddresses {
  readonly metrics_url: string;
  readonly peer_address: string;
}

type EventInput = SidecarEvent extends infer E
  ? E extends SidecarEvent ? Omit<E, "nowMs"> : never
  : never;

/** Runs the sidecar reducer: passes events to it and executes its effects. */
export class SidecarHost implements Disposable {
  readonly #settings: SidecarSettings;
  readonly #services: NodeServices;
  readonly #state: SidecarState;
  readonly #membership: MembershipState;
  readonly #connections: SidecarConnections;
  readonly #engine: EngineClient;
  readonly #execution: ExecutionHost;
  readonly #configSync: ConfigSyncHost;
  readonly #instanceList: InstanceListHost;
  readonly #metricsServer: JsonServer;
  readonly #keyedCalls = new Map<string, KeyedCallHandle>();
  readonly #failureLog: FailureLog;
  readonly #events = new EventQueue<SidecarEvent, SidecarEffect>({
    reduce: (event) => reduceSidecar(this.#state, event),
    runEffect: (effect) => this.#runEffect(effect),
    onFailure: (error, event, effect) =>
      this.#failureLog.logEvent(error, event, effect),
  });
  readonly #timers: NodeJS.Timeout[] = [];
  #lastCacheEventSeq = 0;
  #onExit: (() => void) | undefined;

  constructor(settings: SidecarSettings) {
    this.#settings = settings;
    const { node, platform, sidecar } = settings;
    const services = new NodeServices(settings, sidecar.endpoint_id);
    this.#services = services;
    const { clock, logger, store, timers } = services;
    this.#failureLog = new FailureLog(logger, clock);
    this.#state = createSidecarState({
      endpointId: sidecar.endpoint_id,
      incarnation: services.identity.incarnation,
      address: sidecar.advertised_address ??
        `${node.listen_host}:${node.peer_port}`,
      pool: sidecar.pool,
      seed: services.seed,
      streamBufferBytes: sidecar.stream_buffer_bytes,
      firstComeFirstServed: sidecar.admission === "first_come",
    }, clock.nowMs());
    this.#membership = createMembershipState({
      nodeId: sidecar.endpoint_id,
      role: "sidecar",
      failureDomain: node.failure_domain,
      seed: services.seed + 1,
    });
    this.#connections = new SidecarConnections(
      services,
      this.#membership,
      () => this.#configSync.version,
    );
    this.#engine = new EngineClient(
      sidecar.endpoint_url,
      new PlainDialect(),
      (event) => this.#dispatch(event),
    );
    this.#execution = new ExecutionHost({
      store,
      clock,
      endpointId: sidecar.endpoint_id,
    });
    this.#configSync = new ConfigSyncHost({
      role: "sidecar",
      watchMode: "elected",
      seed: services.seed + 2,
      store,
      transport: this.#connections,
      clock,
      timers,
      reporter: services.reporter("config_note"),
    });
    this.#instanceList = new InstanceListHost({
      client: new InstanceListClient({
        url: platform.instance_list_url,
        requestTimeoutMs: platform.request_timeout_ms,
        timers,
      }),
      transport: this.#connections,
      clock,
      reporter: services.reporter("membership_note"),
      dispatch: (event) => this.#handleMembershipEvent(event),
    });
    this.#metricsServer = new JsonServer({
      "/metrics": (_request, response) =>
        services.metrics.sendMetrics(response),
      "/status": (_request, response) =>
        sendJson(
          response,
          200,
          sidecarStatus(this.#state, services, this.#configSync.version),
        ),
    });
    for (const gauge of sidecarGauges(this.#state, services)) {
      services.metrics.addGauge(gauge);
    }
    services.logger.log("process_started", { role: "sidecar" });
    this.#subscribe();
  }

  /**
   * Opens the listening sockets; the sidecar accepts work once it has a
   * configuration and its endpoint is healthy. Rejects when a port cannot be
   * bound.
   */
  async start(): Promise<SidecarAddresses> {
    const { node } = this.#settings;
    const host = node.listen_host;
    const peerPort = await this.#connections.listen(host, node.peer_port);
    const metricsPort = await this.#metricsServer.listen(
      host,
      node.metrics_port,
    );
    this.#configSync.start([]);
    this.#handleMembershipEvent({ type: "tick", nowMs: this.#nowMs() });
    this.#startInterval(
      TICK_INTERVAL_MS,
      () => this.#dispatch({ type: "tick" }),
    );
    this.#startInterval(HEALTH_INTERVAL_MS, () => void this.#checkHealth());
    this.#startInterval(
      CACHE_EVENT_INTERVAL_MS,
      () => void this.#readCacheEvents(),
    );
    this.#startInterval(
      HEALTH_INTERVAL_MS,
      () => this.#handleMembershipEvent({ type: "tick", nowMs: this.#nowMs() }),
    );
    void this.#checkHealth();
    void this.#readFencingNumber();
    return {
      metrics_url: `http://${host}:${metricsPort}/metrics`,
      peer_address: `${host}:${peerPort}`,
    };
  }

  /**
   * Stops accepting work and resolves when no attempt is in flight, or
   * immediately with the setting `stop = "at_once"`.
   */
  drain(): Promise<void> {
    this.#services.logger.log("process_stopping", {});
    if (this.#settings.sidecar.stop === "at_once") {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.#onExit = resolve;
      this.#dispatch({ type: "drain_requested", exitWhenDrained: true });
    });
  }

  dispose(): void {
    this.#timers.forEach(clearInterval);
    this.#metricsServer.dispose();
    this.#configSync.dispose();
    this.#instanceList.dispose();
    this.#execution.dispose();
    this.#engine.dispose();
    this.#connections.dispose();
    this.#services.logger.log("process_stopped");
    this.#services.dispose();
  }

  #subscribe(): void {
    this.#connections.onConnected(({ connectionId, hello }) => {
      this.#dispatch({ type: "connected", connectionId, hello });
    });
    this.#connections.onMessage(({ connectionId, peerId, message }) =>
      this.#handleMessage(connectionId, peerId, message)
    );
    this.#connections.onClosed((connectionId) =>
      this.#dispatch({ type: "connection_closed", connectionId })
    );
    this.#configSync.on("configApplied", (config) => this.#applyConfig(config));
    this.#instanceList.on("probeRequested", () => {
      // Only routers place requests, so a sidecar does not probe its peers.
    });
  }

  #handleMessage(connectionId: string, peerId: string, message: Message): void {
    switch (message.type) {
      case "config_query":
      case "config_state":
        this.#configSync.handleMessage(peerId, message);
        break;
      case "instances":
        this.#handleMembershipEvent({
          type: "message_received",
          nowMs: this.#nowMs(),
          peerId,
          message,
        });
        break;
      default:
        this.#dispatch({ type: "message", connectionId, message });
    }
  }

  #applyConfig({ version, bundle }: ConfigInForce): void {
    const pool = bundle.pools.find(({ name }) =>
      name === this.#settings.sidecar.pool
    );
    if (pool) {
      this.#engine.setDialect(
        pool.kind === "service"
          ? new PlainDialect()
          : createDialect(pool.dialect),
      );
    }
    this.#dispatch({ type: "config_applied", configVersion: version, pool });
  }

  #handleMembershipEvent(event: MembershipEvent): void {
    const listVersion = this.#membership.listVersion;
    for (const effect of reduceMembership(this.#membership, event)) {
      this.#instanceList.runEffect(effect);
    }
    if (this.#membership.listVersion !== listVersion) {
      this.#dispatch({ type: "peers_changed", peers: this.#poolPeers() });
    }
  }

  #poolPeers(): PoolPeer[] {
    return [...this.#membership.instances.values()]
      .filter(({ row, listed }) =>
        listed && row.role === "endpoint" && row.state === "live" &&
        row.pool === this.#settings.sidecar.pool
      )
      .map(({ row }) => ({
        endpointId: row.instanceId,
        address: row.address,
      }));
  }

  #dispatch(input: EventInput): void {
    this.#events.push({ ...input, nowMs: this.#nowMs() } as SidecarEvent);
  }

  /** Keeps the process of this sidecar running when an error is not handled. */
  logUnhandledErrors(): void {
    this.#failureLog.logUnhandledErrors();
  }

  #runEffect(effect: SidecarEffect): void {
    switch (effect.type) {
      case "send":
        this.#connections.sendTo(effect.connectionId, effect.message);
        break;
      case "send_peer":
        this.#connections.sendToPeer(effect.peer, effect.message);
        break;
      case "close_connection":
        this.#connections.close(effect.connectionId);
        break;
      case "create_record":
        this.#beginKeyedCall(effect.attemptId, effect.submit);
        break;
      case "finish_record":
        this.#keyedCalls.get(effect.attemptId)?.finished(effect.answer);
        this.#keyedCalls.delete(effect.attemptId);
        break;
      case "start_call":
        this.#engine.start(effect.attemptId, effect.submit);
        break;
      case "abort_call":
        this.#engine.abort(effect.attemptId);
        break;
      case "pause_call":
        this.#engine.setPaused(effect.attemptId, effect.paused);
        break;
      case "run_order":
        void this.#runOrder(effect);
        break;
      case "config_hint":
        this.#observePeerVersion(effect.connectionId, effect.configVersion);
        break;
      case "exit":
        this.#onExit?.();
        break;
      case "measure":
        this.#services.metrics.observe(effect.measurement);
        break;
      case "log":
        this.#services.logger.log(effect.event, effect.fields);
        break;
    }
  }

  #beginKeyedCall(attemptId: string, submit: SubmitMessage): void {
    const reportDecision = (decision: ExecutionDecision) =>
      this.#dispatch({ type: "execution_decided", attemptId, decision });
    const handle = this.#execution.begin({
      attemptId,
      account: submit.account,
      idempotencyKey: submit.idempotencyKey ?? "",
      fingerprint: submit.fingerprint ?? "",
      startByMs: this.#nowMs() + submit.startWithinMs,
    }, {
      startCall: () => reportDecision({ type: "start" }),
      refuseCall: (refusal) => {
        this.#keyedCalls.delete(attemptId);
        reportDecision({ type: "refuse", ...refusal });
      },
    });
    this.#keyedCalls.set(attemptId, handle);
  }

  async #runOrder(
    { connectionId, order }: Extract<SidecarEffect, { type: "run_order" }>,
  ): Promise<void> {
    const { accepted, reason } = await this.#engine.runOrder(order);
    this.#dispatch({
      type: "order_answered",
      connectionId,
      orderId: order.orderId,
      accepted,
      reason,
    });
  }

  #observePeerVersion(connectionId: string, version: number): void {
    const peerId = this.#state.connections.get(connectionId)?.nodeId;
    if (peerId !== undefined) {
      this.#configSync.observePeerVersion(peerId, version);
    }
  }

  async #checkHealth(): Promise<void> {
    const healthy = await this.#engine.isHealthy();
    this.#dispatch({
      type: "endpoint_health",
      // Without a configuration the sidecar has no limits to enforce, so it
      // must not accept work yet.
      healthy: healthy && this.#state.configVersion > 0,
    });
  }

  async #readCacheEvents(): Promise<void> {
    if (this.#state.pool.kind !== "model") {
      return;
    }
    const cacheEvents = await this.#engine.readCacheEvents(
      this.#lastCacheEventSeq,
    );
    if (!cacheEvents || cacheEvents.events.length === 0) {
      return;
    }
    this.#lastCacheEventSeq = Math.max(
      ...cacheEvents.events.map(({ seq }) => seq),
    );
    const hashesOf = (kind: "stored" | "evicted") =>
      cacheEvents.events.filter((event) => event.kind === kind)
        .map(({ hash }) => BigInt(`0x${hash}`));
    this.#dispatch({
      type: "cache_events",
      storedHashes: hashesOf("stored"),
      evictedHashes: hashesOf("evicted"),
    });
  }

  /**
   * Reads the highest accepted fencing number, which the sidecar loses in a
   * restart. The version of the order object in the store is used, since it is
   * at least as high. The sidecar accepts no order before this read has
   * succeeded.
   */
  async #readFencingNumber(): Promise<void> {
    const key = orderKey(this.#settings.sidecar.endpoint_id);
    try {
      const object = await this.#services.store.get(key);
      this.#dispatch({
        type: "fencing_number_read",
        fencingNumber: object?.version ?? 0,
      });
    } catch (error) {
      if (!(error instanceof StoreError)) {
        throw error;
      }
      this.#timers.push(
        setTimeout(() => void this.#readFencingNumber(), FENCING_RETRY_MS),
      );
    }
  }

  #startInterval(intervalMs: Millis, run: () => void): void {
    this.#timers.push(setInterval(run, intervalMs));
  }

  #nowMs(): Millis {
    return this.#services.clock.nowMs();
  }
}
