import type { Socket } from "node:net";
import {
  createPlacementPolicy,
  createPrefixHasher,
  createRouterState,
  listModels,
  type MembershipEvent,
  type Message,
  type MessageOf,
  type Millis,
  type PrefixHasher,
  reduceRouter,
  type RouterEffect,
  type RouterEvent,
  type RouterSettings,
  type RouterState,
} from "@anvildeal/core";
import { AdminApi } from "../admin/index.js";
import {
  ConfigSyncHost,
  InstanceListClient,
  InstanceListHost,
} from "../config_sync/index.js";
import { EventQueue } from "../event_queue.js";
import {
  CallerMemory,
  EvictionLog,
  type EvictionReason,
} from "../caller_memory/index.js";
import { FailureLog } from "../logging/index.js";
import { ExecutionRecordSweeper } from "../execution/index.js";
import { JsonServer, sendJson } from "../json_server.js";
import { type Disposable, seedPeerId } from "../net/index.js";
import { NodeServices } from "../node_services.js";
import { OrderIssuer } from "../orders/index.js";
import { createAdminServices } from "./create_admin_services.js";
import { burnGauges, BurnReporter } from "./burn_reporter.js";
import { callerMemoryBytes } from "./caller_memory_bytes.js";
import { CallerServer } from "./caller_server.js";
import { RouterConnections } from "./router_connections.js";
import {
  callerMemoryGauge,
  routerGauges,
  routerStatus,
} from "./router_status.js";

/** Interval of the `tick` events by which the reducer checks its timeouts. */
const TICK_INTERVAL_MS: Millis = 25;

/** Addresses that a started router listens on. */
export interface RouterAddresses {
  readonly http_url: string;
  readonly admin_url: string;
  readonly metrics_url: string;
  readonly peer_address: string;
}

/** Runs the router reducer: passes events to it and executes its effects. */
export class RouterHost implements Disposable {
  readonly #settings: RouterSettings;
  readonly #services: NodeServices;
  readonly #state: RouterState;
  readonly #connections: RouterConnections;
  readonly #configSync: ConfigSyncHost;
  readonly #instanceList: InstanceListHost;
  readonly #instanceListClient: InstanceListClient;
  readonly #sweeper: ExecutionRecordSweeper;
  readonly #orderIssuer: OrderIssuer;
  readonly #burnReporter: BurnReporter;
  readonly #callerServer: CallerServer;
  readonly #adminServer: JsonServer;
  readonly #metricsServer: JsonServer;
  readonly #failureLog: FailureLog;
  readonly #events = new EventQueue<RouterEvent, RouterEffect>({
    reduce: (event) => reduceRouter(this.#state, event),
    runEffect: (effect) => this.#runEffect(effect),
    onFailure: (error, event, effect) =>
      this.#handleFailure(error, event, effect),
  });
  #tickTimer: NodeJS.Timeout | undefined;
  #onDrained: (() => void) | undefined;

  static async create(settings: RouterSettings): Promise<RouterHost> {
    return new RouterHost(settings, await createPrefixHasher());
  }

  private constructor(settings: RouterSettings, hasher: PrefixHasher) {
    this.#settings = settings;
    const { node, platform, router } = settings;
    const services = new NodeServices(settings, node.id);
    this.#services = services;
    const { clock, logger, store, timers } = services;
    this.#failureLog = new FailureLog(logger, clock);
    this.#state = createRouterState({
      nodeId: node.id,
      failureDomain: node.failure_domain,
      seed: services.seed,
      placement: createPlacementPolicy(router.placement),
      probeCount: router.probe_count,
      probeFreshMs: router.probe_fresh_ms,
      probeTimeoutMs: router.probe_timeout_ms,
      enforceLoadBound: router.placement === "policy",
      retryUnconditionally: router.retries === "plain",
      detectStalledConnections: router.silence === "policy",
    });
    this.#connections = new RouterConnections(
      services,
      this.#state,
      () => this.#configSync.version,
    );
    this.#configSync = new ConfigSyncHost({
      role: "router",
      watchMode: router.watch_config,
      seed: services.seed + 2,
      store,
      transport: this.#connections,
      clock,
      timers,
      reporter: services.reporter("config_note"),
      listVersion: () => this.#state.membership.listVersion,
    });
    this.#instanceListClient = new InstanceListClient({
      url: platform.instance_list_url,
      requestTimeoutMs: platform.request_timeout_ms,
      timers,
    });
    this.#instanceList = new InstanceListHost({
      client: this.#instanceListClient,
      transport: this.#connections,
      clock,
      reporter: services.reporter("membership_note"),
      dispatch: (event) =>
        this.#dispatch({ type: "membership", nowMs: event.nowMs, event }),
    });
    this.#sweeper = new ExecutionRecordSweeper({ store, clock });
    this.#orderIssuer = new OrderIssuer({
      store,
      clock,
      send: (endpointId, message) =>
        this.#connections.send(endpointId, message),
    });
    this.#burnReporter = new BurnReporter(services, this.#connections);
    const evictionLog = new EvictionLog({
      logger,
      clock,
      observe: (measurement) => services.metrics.observe(measurement),
    });
    const memory = new CallerMemory({
      maxBytes: callerMemoryBytes(router),
      onEvict: (eviction) =>
        evictionLog.report({ ...eviction, reason: "memory" }),
    });
    const reportClosed = (socket: Socket, reason: EvictionReason) =>
      evictionLog.reportConnection(socket, reason, memory.heldBytes);
    this.#callerServer = new CallerServer({
      memory,
      onEvict: (eviction) => evictionLog.report(eviction),
      knowsKey: (keyHash) =>
        this.#state.config?.accountsByKeyHash.has(keyHash) ?? false,
      maxBodyBytes: router.max_body_bytes,
      maxHeaderBytes: router.max_header_bytes,
      bodyTimeoutMs: router.body_timeout_ms,
      maxConnections: router.max_caller_connections,
      hasher,
      listModels: (keyHash) => listModels(this.#state, keyHash),
      notReadyReason: () => this.#notReadyReason(),
    });
    const adminApi = new AdminApi(
      createAdminServices({
        state: this.#state,
        services,
        orderIssuer: this.#orderIssuer,
        burnReporter: this.#burnReporter,
      }),
      { callerMemory: memory },
    );
    this.#adminServer = new JsonServer(
      {
        "/status": (_request, response) =>
          sendJson(response, 200, this.status()),
      },
      (request, response) => adminApi.handle(request, response),
      reportClosed,
    );
    this.#metricsServer = new JsonServer(
      {
        "/metrics": (_request, response) =>
          services.metrics.sendMetrics(response),
      },
      undefined,
      reportClosed,
    );
    for (
      const gauge of [
        ...routerGauges(this.#state, services),
        ...burnGauges(this.#burnReporter),
        callerMemoryGauge(memory),
      ]
    ) {
      services.metrics.addGauge(gauge);
    }
    logger.log("process_started", { role: "router" });
    this.#subscribe();
  }

  /**
   * Opens the listening sockets and starts configuration sync.
   * Rejects when a port cannot be bound.
   */
  async start(): Promise<RouterAddresses> {
    const { node, router } = this.#settings;
    const host = node.listen_host;
    const peerPort = await this.#connections.listen(host, node.peer_port);
    const httpPort = await this.#callerServer.listen(host, router.http_port);
    const adminPort = await this.#adminServer.listen(host, router.admin_port);
    const metricsPort = await this.#metricsServer.listen(
      host,
      node.metrics_port,
    );
    this.#configSync.start(router.seed_peers.map(seedPeerId));
    this.#tickTimer = setInterval(() => this.#tick(), TICK_INTERVAL_MS);
    return {
      http_url: `http://${host}:${httpPort}`,
      admin_url: `http://${host}:${adminPort}`,
      metrics_url: `http://${host}:${metricsPort}/metrics`,
      peer_address: `${host}:${peerPort}`,
    };
  }

  /** Stops accepting requests and resolves when callers have their responses. */
  async drain(): Promise<void> {
    this.#services.logger.log("process_stopping", {});
    this.#callerServer.stopKeepAlive();
    await new Promise<void>((resolve) => {
      this.#onDrained = resolve;
      this.#dispatch({ type: "drain_requested", nowMs: this.#nowMs() });
    });
    await this.#callerServer.stopListening();
    await this.#callerServer.untilDelivered();
  }

  /** Body of `/status`; see {@link routerStatus}. */
  status(): unknown {
    return routerStatus(this.#state, this.#services, this.#configSync.version);
  }

  dispose(): void {
    clearInterval(this.#tickTimer);
    this.#callerServer.dispose();
    this.#adminServer.dispose();
    this.#metricsServer.dispose();
    this.#configSync.dispose();
    this.#instanceList.dispose();
    this.#sweeper.dispose();
    this.#connections.dispose();
    this.#services.logger.log("process_stopped");
    this.#services.dispose();
  }

  #subscribe(): void {
    const { sidecars } = this.#connections;
    this.#callerServer.onRequest((request) =>
      this.#dispatch({
        type: "request_received",
        nowMs: this.#nowMs(),
        request,
      })
    );
    this.#callerServer.onDisconnected((requestId) =>
      this.#dispatch({ type: "caller_gone", nowMs: this.#nowMs(), requestId })
    );
    this.#callerServer.onBackpressure((backpressure) =>
      this.#dispatch({
        type: "caller_congested",
        nowMs: this.#nowMs(),
        ...backpressure,
      })
    );
    sidecars.onReady(({ peerId, hello }) =>
      this.#dispatch({
        type: "connected",
        nowMs: this.#nowMs(),
        endpointId: peerId,
        hello,
      })
    );
    sidecars.onMessage(({ peerId, message }) =>
      this.#handleSidecarMessage(peerId, message)
    );
    sidecars.onClose(({ peerId, wasReady, unsent }) =>
      this.#dispatch({
        type: "connection_closed",
        nowMs: this.#nowMs(),
        endpointId: peerId,
        wasReady,
        unsent,
      })
    );
    this.#connections.onRouterMessage(({ peerId, message }) =>
      this.#handleRouterMessage(peerId, message)
    );
    this.#connections.onRouterReady(
      ({ nodeId, incarnation, configVersion }) => {
        this.#configSync.observePeerVersion(nodeId, configVersion);
        this.#dispatchMembership({
          type: "answered",
          nowMs: this.#nowMs(),
          instanceId: nodeId,
          status: { incarnation },
        });
      },
    );
    // Without this event a crashed router that is elected as the watcher would
    // stay elected until the instance list no longer names it.
    this.#connections.onRouterConnectFailed((instanceId) =>
      this.#dispatchMembership({
        type: "connect_failed",
        nowMs: this.#nowMs(),
        instanceId,
      })
    );
    this.#configSync.on(
      "configApplied",
      ({ version, bundle }) => {
        this.#burnReporter.setObjectives(bundle.objectives);
        this.#dispatch({
          type: "config_applied",
          nowMs: this.#nowMs(),
          configVersion: version,
          bundle,
        });
      },
    );
    this.#instanceList.on("electionChanged", (elected) => {
      this.#configSync.setElected(elected);
      this.#sweeper.setElected(elected);
    });
    this.#instanceList.on(
      "probeRequested",
      (instanceId) =>
        this.#connections.send(instanceId, {
          type: "probe",
          probeId: "health",
          prefixHashes: new Uint8Array(),
          configVersion: this.#configSync.version,
        }),
    );
  }

  #handleSidecarMessage(peerId: string, message: Message): void {
    if (message.type === "order_reply") {
      this.#orderIssuer.handleReply(message);
      return;
    }
    if (!this.#handleSyncMessage(peerId, message)) {
      this.#dispatch({
        type: "message",
        nowMs: this.#nowMs(),
        endpointId: peerId,
        message,
      });
    }
  }

  #handleRouterMessage(peerId: string, message: Message): void {
    if (message.type === "report_query") {
      this.#burnReporter.handleQuery(peerId, message);
    } else if (message.type === "report_state") {
      this.#burnReporter.handleReply(peerId, message);
    } else {
      this.#handleSyncMessage(peerId, message);
    }
  }

  /**
   * Handles messages of configuration sync and membership. Returns false for
   * other messages.
   */
  #handleSyncMessage(peerId: string, message: Message): boolean {
    if (message.type === "config_query" || message.type === "config_state") {
      this.#configSync.handleMessage(peerId, message);
    }
    if (message.type === "config_query" || message.type === "instances") {
      this.#handleListMessage(peerId, message);
    }
    return message.type === "config_query" ||
      message.type === "config_state" || message.type === "instances";
  }

  #handleListMessage(
    peerId: string,
    message: MessageOf<"config_query"> | MessageOf<"instances">,
  ): void {
    const nowMs = this.#nowMs();
    this.#dispatch({
      type: "membership",
      nowMs,
      event: { type: "message_received", nowMs, peerId, message },
    });
  }

  #dispatchMembership(event: MembershipEvent): void {
    this.#dispatch({ type: "membership", nowMs: event.nowMs, event });
  }

  #tick(): void {
    this.#dispatch({ type: "tick", nowMs: this.#nowMs() });
  }

  #dispatch(event: RouterEvent): void {
    this.#events.push(event);
  }

  /** Ends the call that an event or effect which threw belongs to, if any. */
  #handleFailure(
    error: unknown,
    event: RouterEvent,
    effect?: RouterEffect,
  ): void {
    this.#failureLog.logEvent(error, event, effect);
    const failed = effect ?? event;
    if ("requestId" in failed) {
      // Its caller is told nothing of whether the request ran.
      this.#callerServer.abort(failed.requestId);
    }
  }

  /** Keeps the process of this router running when an error is not handled. */
  logUnhandledErrors(): void {
    this.#failureLog.logUnhandledErrors();
  }

  #runEffect(effect: RouterEffect): void {
    const callerServer = this.#callerServer;
    switch (effect.type) {
      case "send":
        this.#connections.sidecars.send(
          effect.endpointId,
          effect.address,
          effect.message,
        );
        break;
      case "close_connection":
        this.#connections.sidecars.close(effect.endpointId);
        break;
      case "respond_head":
        callerServer.sendHead(effect.requestId, effect.status, effect.headers);
        break;
      case "respond_data":
        callerServer.sendData(effect.requestId, effect.data);
        break;
      case "respond_end":
        callerServer.sendEnd(effect.requestId);
        break;
      case "respond_abort":
        callerServer.abort(effect.requestId);
        break;
      case "respond_error":
        callerServer.sendError(
          effect.requestId,
          effect.error,
          effect.endpointId,
        );
        break;
      case "config_hint":
        this.#configSync.observePeerVersion(
          effect.peerId,
          effect.configVersion,
        );
        break;
      case "membership":
        this.#instanceList.runEffect(effect.effect);
        break;
      case "drained":
        this.#onDrained?.();
        break;
      case "request_ended":
        this.#burnReporter.record(effect.result);
        break;
      case "measure":
        this.#services.metrics.observe(effect.measurement);
        break;
      case "log":
        this.#services.logger.log(effect.event, effect.fields);
        break;
    }
  }

  #notReadyReason(): string | undefined {
    if (this.#state.draining) {
      return "stopping";
    }
    if (!this.#state.config) {
      return "no configuration";
    }
    return this.#state.membership.listVersion < 0
      ? "no instance list"
      : undefined;
  }

  #nowMs(): Millis {
    return this.#services.clock.nowMs();
  }
}
