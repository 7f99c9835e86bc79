import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { stringify } from "smol-toml";
import { sleep } from "../load/load_runner.js";
import { ExecutionAudit } from "../measure/execution_audit.js";
import { AdminClient, BENCH_OPERATORS } from "./admin_client.js";
import { Balancer } from "./balancer.js";
import { MODEL_POOL, SERVICE_POOL } from "./bench_bundle.js";
import { ConfigWriter } from "./config_writer.js";
import { FleetError } from "./fleet_error.js";
import type { EngineOptions, FleetOptions } from "./fleet_options.js";
import { callJson, callJsonOrThrow } from "./json_client.js";
import type { ManagedProcess, ReadyLine } from "./managed_process.js";
import type { EndpointNode, RouterNode, StandIn } from "./nodes.js";
import { ProcessGroup } from "./process_group.js";
import { DAEMON_SCRIPT, STAND_IN_SCRIPT } from "./script_paths.js";

/** Secret with which routers and sidecars authenticate to each other. */
const FLEET_KEY = "fleet-key-of-the-bench";
const READY_TIMEOUT_MS = 30_000;
const READY_POLL_MS = 50;
/** Longer than any request of the bench, so that a drain can finish. */
const STOP_TIMEOUT_MS = 30_000;

export interface StopOptions {
  /**
   * Whether the instance list shows the instance as `leaving` before the
   * instance is stopped.
   */
  readonly isAnnounced: boolean;
}

/**
 * Starts and ends all processes of one run: stand-ins, routers and sidecars.
 */
export class Fleet {
  readonly processes: ProcessGroup;
  readonly routers: RouterNode[] = [];
  readonly endpoints: EndpointNode[] = [];
  readonly balancer = new Balancer(() => this.routers);
  /** Counts executions on all backends, including backends that have ended. */
  readonly audit = new ExecutionAudit();
  readonly #instanceLists: StandIn[] = [];
  #objectApi: StandIn | undefined;
  #nextNodeNumber = 1;

  private constructor(readonly options: FleetOptions) {
    this.processes = new ProcessGroup(options.signalExitCode);
  }

  /**
   * Starts all processes and waits until every router is ready. If a process
   * does not start, ends all processes and throws {@link FleetError}.
   */
  static async start(options: FleetOptions): Promise<Fleet> {
    const fleet = new Fleet(options);
    try {
      await fleet.#startPlatform();
      await Promise.all([
        ...range(options.engineCount).map((i) => fleet.addEngine(i)),
        ...range(options.serviceCount).map((i) => fleet.addService(i)),
      ]);
      await Promise.all(
        range(options.routerCount).map((i) => fleet.addRouter(i)),
      );
      await fleet.balancer.check();
      await fleet.#applyListLag();
      return fleet;
    } catch (error) {
      await fleet.dispose();
      throw error;
    }
  }

  get objectApi(): StandIn {
    if (this.#objectApi === undefined) {
      throw new FleetError("the object API has not been started");
    }
    return this.#objectApi;
  }

  get instanceLists(): readonly StandIn[] {
    return this.#instanceLists;
  }

  get configWriter(): ConfigWriter {
    return new ConfigWriter(this.objectApi.url);
  }

  /**
   * Returns a client of the administration API of a router. An index beyond the
   * last router wraps around. Throws {@link FleetError} when no router runs.
   */
  adminClient(routerIndex: number): AdminClient {
    const router = this.routers[routerIndex % this.routers.length];
    if (router === undefined) {
      throw new FleetError("no router is running");
    }
    return new AdminClient(router.adminUrl);
  }

  get engines(): EndpointNode[] {
    return this.endpoints.filter((endpoint) => endpoint.pool === MODEL_POOL);
  }

  get services(): EndpointNode[] {
    return this.endpoints.filter((endpoint) => endpoint.pool === SERVICE_POOL);
  }

  async addEngine(
    domainIndex: number,
    overrides: Partial<EngineOptions> = {},
  ): Promise<EndpointNode> {
    const nodeNumber = this.#nextNodeNumber++;
    const engine = { ...this.options.engine, ...overrides };
    const backend = await this.#startStandIn(
      `engine-${nodeNumber}`,
      "model-engine",
      {
        "max-batch": engine.maxBatch,
        "prefill-tokens-per-s": engine.prefillTokensPerS,
        "decode-base-ms": engine.decodeBaseMs,
        "decode-per-request-ms": engine.decodePerRequestMs,
        "cache-tokens": engine.cacheTokens,
        seed: this.options.seed + nodeNumber,
      },
    );
    return await this.#addEndpoint(
      nodeNumber,
      MODEL_POOL,
      domainIndex,
      backend,
    );
  }

  async addService(domainIndex: number): Promise<EndpointNode> {
    const nodeNumber = this.#nextNodeNumber++;
    const backend = await this.#startStandIn(
      `service-${nodeNumber}`,
      "plain-service",
      {},
    );
    return await this.#addEndpoint(
      nodeNumber,
      SERVICE_POOL,
      domainIndex,
      backend,
    );
  }

  async addRouter(
    domainIndex: number,
    overrides: FleetOptions["router"] = {},
  ): Promise<RouterNode> {
    const id = `router-${this.#nextNodeNumber++}`;
    const failureDomain = this.#failureDomain(domainIndex);
    const daemon = this.#startDaemon(id, {
      role: "router",
      node: this.#nodeSettings(id, failureDomain),
      platform: this.#platformSettings(domainIndex),
      router: {
        http_port: 0,
        admin_port: 0,
        ...this.options.router,
        ...overrides,
      },
    });
    const ready = await daemon.ready();
    const peerAddress = requireTextField(ready, "peer_address");
    const proxy = this.options.hasRouterProxies
      ? await this.#startProxy(`proxy-${id}`, peerAddress)
      : undefined;
    const node: RouterNode = {
      id,
      failureDomain,
      process: daemon,
      httpUrl: requireTextField(ready, "http_url"),
      adminUrl: requireTextField(ready, "admin_url"),
      metricsUrl: requireTextField(ready, "metrics_url"),
      peerAddress: proxy === undefined ? peerAddress : addressOf(proxy.url),
      proxy,
    };
    await this.register(id, "router", "", node.peerAddress, failureDomain);
    await waitForReady(node.httpUrl);
    this.routers.push(node);
    return node;
  }

  /**
   * Stops an endpoint gracefully, then starts its successor in the same failure
   * domain.
   */
  async replaceEndpoint(
    node: EndpointNode,
    options: StopOptions,
  ): Promise<EndpointNode> {
    await this.stopEndpoint(node, options);
    const domainIndex = this.options.failureDomains.indexOf(node.failureDomain);
    return node.pool === MODEL_POOL
      ? await this.addEngine(domainIndex)
      : await this.addService(domainIndex);
  }

  async stopEndpoint(
    node: EndpointNode,
    options: StopOptions,
  ): Promise<void> {
    if (options.isAnnounced) {
      await this.registerEndpoint(node, "leaving");
    }
    await node.sidecar.stop(STOP_TIMEOUT_MS);
    await this.#removeEndpoint(node);
  }

  /** Kills the sidecar and the backend of an endpoint without notice. */
  async killEndpoint(node: EndpointNode): Promise<void> {
    await node.sidecar.kill();
    await this.#removeEndpoint(node);
  }

  /**
   * Stops a router gracefully, then starts its successor in the same failure
   * domain.
   */
  async replaceRouter(
    node: RouterNode,
    options: StopOptions,
  ): Promise<RouterNode> {
    if (options.isAnnounced) {
      await this.register(
        node.id,
        "router",
        "",
        node.peerAddress,
        node.failureDomain,
        "leaving",
      );
    }
    await node.process.stop(STOP_TIMEOUT_MS);
    await this.removeRouter(node);
    const domainIndex = this.options.failureDomains.indexOf(node.failureDomain);
    return await this.addRouter(domainIndex);
  }

  async removeRouter(node: RouterNode): Promise<void> {
    removeItem(this.routers, node);
    await this.unregister(node.id);
    await node.proxy?.process.kill();
  }

  async register(
    id: string,
    role: "router" | "endpoint",
    pool: string,
    address: string,
    failureDomain: string,
    state: "live" | "leaving" = "live",
  ): Promise<void> {
    const body = {
      role,
      pool,
      address,
      failure_domain: failureDomain,
      state,
    };
    await Promise.all(
      this.#instanceLists.map((list) =>
        callJsonOrThrow(`${list.controlUrl}/instances/${id}`, {
          method: "PUT",
          body,
        })
      ),
    );
  }

  async registerEndpoint(
    node: EndpointNode,
    state: "live" | "leaving",
  ): Promise<void> {
    await this.register(
      node.id,
      "endpoint",
      node.pool,
      node.address,
      node.failureDomain,
      state,
    );
  }

  async unregister(id: string): Promise<void> {
    await Promise.all(
      this.#instanceLists.map((list) =>
        callJson(`${list.controlUrl}/instances/${id}`, { method: "DELETE" })
      ),
    );
  }

  /**
   * Sets faults through the control URL of a stand-in. This URL answers during
   * a simulated outage as well. Throws {@link FleetError} if the stand-in
   * refuses the faults.
   */
  async setFaults(standIn: StandIn, faults: unknown): Promise<void> {
    await callJsonOrThrow(`${standIn.controlUrl}/faults`, {
      method: "POST",
      body: faults,
    });
  }

  /**
   * Adds the executions on the running backends to the audit. Must be called
   * only once, at the end, because a second call would count them again.
   */
  async collectExecutions(): Promise<void> {
    await Promise.all(
      this.endpoints.map(({ backend }) => this.audit.collect(backend)),
    );
  }

  /** Returns the number of executions that a backend has started so far. */
  async countStarts(backend: StandIn): Promise<number> {
    const audit = new ExecutionAudit();
    await audit.collect(backend);
    return audit.totalStarts;
  }

  async dispose(): Promise<void> {
    this.balancer.dispose();
    await this.processes.dispose();
  }

  async #startPlatform(): Promise<void> {
    this.#objectApi = await this.#startStandIn("object-api", "object-api", {});
    for (const i of this.options.instanceListLagsMs.keys()) {
      this.#instanceLists.push(
        await this.#startStandIn(`instance-list-${i}`, "instance-list", {}),
      );
    }
    await this.configWriter.writeOperators(BENCH_OPERATORS);
    await this.configWriter.activate(this.options.bundle);
  }

  async #applyListLag(): Promise<void> {
    const lagsMs = this.options.instanceListLagsMs;
    await Promise.all(
      this.#instanceLists.map((list, i) =>
        this.setFaults(list, { lag_ms: lagsMs[i] ?? 0 })
      ),
    );
  }

  async #addEndpoint(
    nodeNumber: number,
    pool: string,
    domainIndex: number,
    backend: StandIn,
  ): Promise<EndpointNode> {
    const id = `endpoint-${String(nodeNumber).padStart(3, "0")}`;
    const failureDomain = this.#failureDomain(domainIndex);
    const sidecar = this.#startDaemon(id, {
      role: "sidecar",
      node: this.#nodeSettings(id, failureDomain),
      platform: this.#platformSettings(domainIndex),
      sidecar: {
        endpoint_id: id,
        endpoint_url: backend.url,
        pool,
        ...this.options.sidecar,
      },
    });
    const ready = await sidecar.ready();
    const peerAddress = requireTextField(ready, "peer_address");
    const proxy = this.options.hasFaultProxies
      ? await this.#startProxy(`proxy-${nodeNumber}`, peerAddress)
      : undefined;
    const node: EndpointNode = {
      id,
      pool,
      failureDomain,
      backend,
      sidecar,
      metricsUrl: requireTextField(ready, "metrics_url"),
      address: proxy === undefined ? peerAddress : addressOf(proxy.url),
      proxy,
    };
    this.endpoints.push(node);
    await this.registerEndpoint(node, "live");
    return node;
  }

  async #removeEndpoint(node: EndpointNode): Promise<void> {
    removeItem(this.endpoints, node);
    await this.unregister(node.id);
    await this.audit.collect(node.backend);
    await node.backend.process.kill();
    await node.proxy?.process.kill();
  }

  #startDaemon(name: string, settings: object): ManagedProcess {
    const file = join(this.processes.directory, `${name}.toml`);
    writeFileSync(file, stringify(settings));
    return this.processes.start(name, DAEMON_SCRIPT, [file]);
  }

  #startProxy(name: string, targetAddress: string): Promise<StandIn> {
    return this.#startStandIn(name, "tcp-proxy", {
      "target-port": Number(targetAddress.split(":").at(-1)),
    });
  }

  async #startStandIn(
    name: string,
    kind: string,
    flags: Readonly<Record<string, string | number>>,
  ): Promise<StandIn> {
    const args = Object.entries(flags).flatMap((
      [flag, value],
    ) => [`--${flag}`, String(value)]);
    const child = this.processes.start(name, STAND_IN_SCRIPT, [kind, ...args]);
    const ready = await child.ready();
    const url = requireTextField(ready, "url");
    const controlUrl = ready["control_url"];
    return {
      process: child,
      url,
      controlUrl: typeof controlUrl === "string" ? controlUrl : url,
    };
  }

  #failureDomain(index: number): string {
    const domains = this.options.failureDomains;
    return domains[index % domains.length] ?? "domain-a";
  }

  #nodeSettings(id: string, failureDomain: string): object {
    return {
      id,
      failure_domain: failureDomain,
      peer_port: 0,
      metrics_port: 0,
      fleet_key: FLEET_KEY,
      seed: this.options.seed + this.#nextNodeNumber,
    };
  }

  #platformSettings(domainIndex: number): object {
    const lists = this.#instanceLists;
    const wrappedDomainIndex = domainIndex % this.options.failureDomains.length;
    return {
      object_api_url: this.objectApi.url,
      instance_list_url: lists[wrappedDomainIndex % lists.length]?.url,
    };
  }
}

/**
 * Waits until `GET /readyz` returns 200. Throws {@link FleetError} if that
 * takes longer than `timeoutMs`.
 */
export async function waitForReady(
  httpUrl: string,
  timeoutMs = READY_TIMEOUT_MS,
): Promise<void> {
  const endMs = performance.now() + timeoutMs;
  while (performance.now() < endMs) {
    try {
      if ((await callJson(`${httpUrl}/readyz`)).status === 200) {
        return;
      }
    } catch {
      // The port is not open yet.
    }
    await sleep(READY_POLL_MS);
  }
  throw new FleetError(
    `${httpUrl}/readyz did not return 200 within ${timeoutMs} ms`,
  );
}

/** Integers from 0 to `count` - 1. */
export function range(count: number): number[] {
  return Array.from({ length: count }, (_, i) => i);
}

function requireTextField(ready: ReadyLine, field: string): string {
  const value = ready[field];
  if (typeof value !== "string") {
    throw new FleetError(
      `the ready line has no string ${field}: ${JSON.stringify(ready)}`,
    );
  }
  return value;
}

function addressOf(url: string): string {
  return url.replace(/^[a-z]+:\/\//, "");
}

function removeItem<T>(items: T[], item: T): void {
  const index = items.indexOf(item);
  if (index !== -1) {
    items.splice(index, 1);
  }
}
