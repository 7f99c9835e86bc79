import { createHash, randomUUID } from "node:crypto";
import {
  type Bundle,
  BundleSchema,
  manifestDigest,
  RouterSettingsSchema,
  SidecarSettingsSchema,
  splitBundle,
} from "@anvildeal/core";
import {
  InstanceList,
  ModelEngine,
  ObjectApi,
  PlainService,
  reservePorts,
  type StandIn,
  TcpProxy,
} from "@anvildeal/stand-ins";
import { expect } from "vitest";
import {
  type CallResponse,
  callService,
  chat,
  CLIENT_KEY,
  expectedText,
  MODEL,
  streamChat,
} from "./fault_caller_fixture.js";
import { type RouterAddresses, RouterHost } from "./router/index.js";
import { SidecarHost } from "./sidecar/index.js";
import { HttpObjectStore } from "./store/index.js";

export const FLEET_KEY = "fault-test-fleet-key";

/**
 * Tokens of a stream; at 10 ms per token, a fault is injected while it still
 * runs.
 */
export const STREAM_TOKENS = 120;

/** Timeout of {@link waitUntil}; a fleet starts well within this time. */
const READY_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 25;

type Endpoint = ModelEngine | PlainService;

/**
 * An endpoint with its sidecar. The connections to the endpoint and to the
 * sidecar pass through proxies.
 */
export interface FaultNode<E extends Endpoint = Endpoint> {
  readonly id: string;
  readonly endpoint: E;
  readonly engineProxy: TcpProxy;
  readonly peerProxy: TcpProxy;
  readonly peerPort: number;
  readonly pool: string;
  readonly statusUrl: string;
  sidecar: SidecarHost;
}

/**
 * Routers and sidecars in one process, with simulated endpoints, a simulated
 * object API and a simulated instance list.
 */
export class FaultFleet {
  readonly objectApi = new ObjectApi();
  readonly instanceList = new InstanceList();
  readonly models: FaultNode<ModelEngine>[] = [];
  readonly services: FaultNode<PlainService>[] = [];
  readonly routers: RouterHost[] = [];
  readonly addresses: RouterAddresses[] = [];
  readonly #simulatedServers: StandIn[] = [this.objectApi, this.instanceList];

  async start(): Promise<this> {
    await this.objectApi.start();
    await this.instanceList.start();
    await this.#writeConfig();
    for (const id of ["m1", "m2", "m3"]) {
      const engine = new ModelEngine({
        checksFencing: false,
        cacheEventLossShare: 0,
      });
      this.models.push(await this.#startNode(id, "models", engine));
    }
    for (const id of ["s1", "s2"]) {
      const service = new PlainService();
      this.services.push(await this.#startNode(id, "services", service));
    }
    for (const id of ["r1", "r2"]) {
      await this.#startRouter(id);
    }
    await this.waitUntilServing();
    return this;
  }

  async dispose(): Promise<void> {
    this.routers.forEach((router) => router.dispose());
    [...this.models, ...this.services].forEach(({ sidecar }) =>
      sidecar.dispose()
    );
    for (const standIn of this.#simulatedServers) {
      await standIn.dispose();
    }
  }

  /** Disposes the sidecar without a drain, as if its process were killed. */
  kill(node: FaultNode): void {
    node.sidecar.dispose();
  }

  /** Starts a new incarnation of the sidecar at the same address. */
  async restart(node: FaultNode): Promise<void> {
    node.sidecar = this.#createSidecar(
      node.id,
      node.pool,
      node.engineProxy.port,
      node.peerPort,
    );
    await node.sidecar.start();
  }

  findNode(id: string | null): FaultNode {
    const node = [...this.models, ...this.services].find((one) =>
      one.id === id
    );
    if (!node) {
      throw new Error(`No endpoint ${id}`);
    }
    return node;
  }

  /** Waits until every router serves chats and services. */
  async waitUntilServing(): Promise<void> {
    await waitUntil(
      "all endpoints active",
      () =>
        this.routers.every((router) => {
          const { config_version: version, endpoints } = router.status() as {
            config_version: number;
            endpoints: unknown[];
          };
          return version > 0 && endpoints.length === 5;
        }),
    );
    for (const { http_url: url } of this.addresses) {
      await waitUntil(
        "chats served",
        async () =>
          (await chat(url, "ready", 1).then(({ status }) => status)) === 200,
      );
      await waitUntil(
        "services served",
        async () => (await callService(url, { method: "GET" })).status === 200,
      );
    }
  }

  /**
   * Streams a chat over the first router, injects a fault at its endpoint after
   * the first event and checks that the response is complete.
   */
  async streamWithFault(
    injectFault: (node: FaultNode) => void | Promise<void>,
    tokens = STREAM_TOKENS,
  ): Promise<CallResponse> {
    const text = `chat ${randomUUID()}`;
    const [{ http_url: url }] = this.addresses;
    const answer = await streamChat(
      url,
      text,
      tokens,
      (id) => injectFault(this.findNode(id)),
    );
    expect(answer.status).toBe(200);
    expect(answer.body).toBe(expectedText(text, tokens));
    expect(answer.complete).toBe(true);
    return answer;
  }

  /**
   * Number of times that engines started running the request that a response
   * belongs to.
   */
  modelExecutionsOf({ headers }: CallResponse): number {
    return this.modelExecutions(headers.get("anvildeal-request") ?? "");
  }

  /** Number of times that engines started running the request with this id. */
  modelExecutions(requestId: string): number {
    return sum(
      this.models.map(({ endpoint }) =>
        endpoint.executions.startedCount(requestId)
      ),
    );
  }

  /** Number of calls that the engines themselves count as running. */
  runningEngineCallCount(): number {
    return sum(
      this.models.map(({ endpoint }) => endpoint.load.running),
    );
  }

  /** Number of calls that the sidecars of the engines count as running. */
  async runningAttemptCount(): Promise<number> {
    const running = this.models.map(async ({ statusUrl }) => {
      const response = await fetch(statusUrl);
      return (await response.json() as { running: number }).running;
    });
    return sum(await Promise.all(running));
  }

  serviceExecutions(executionId: string): number {
    return sum(
      this.services.map(({ endpoint }) =>
        endpoint.executions.startedCount(executionId)
      ),
    );
  }

  async #startNode<E extends Endpoint>(
    id: string,
    pool: string,
    endpoint: E,
  ): Promise<FaultNode<E>> {
    await endpoint.start();
    // Reserved, so that no other process takes the port while the proxy refuses
    // connections.
    const engineProxy = new TcpProxy({
      port: (await reservePorts("127.0.0.1", 1))[0]!,
      targetPort: Number(new URL(endpoint.url).port),
    });
    await engineProxy.start();
    const peerPort = (await reservePorts("127.0.0.1", 1))[0]!;
    const peerProxy = new TcpProxy({ targetPort: peerPort });
    await peerProxy.start();
    this.#simulatedServers.push(peerProxy, engineProxy, endpoint);
    this.instanceList.put({
      instance_id: id,
      role: "endpoint",
      pool,
      address: `127.0.0.1:${peerProxy.port}`,
      failure_domain: "a",
      state: "live",
    });
    const sidecar = this.#createSidecar(id, pool, engineProxy.port, peerPort);
    const { metrics_url: metricsUrl } = await sidecar.start();
    const statusUrl = new URL("/status", metricsUrl).href;
    return {
      id,
      statusUrl,
      endpoint,
      engineProxy,
      peerProxy,
      peerPort,
      pool,
      sidecar,
    };
  }

  #createSidecar(
    id: string,
    pool: string,
    enginePort: number,
    peerPort: number,
  ): SidecarHost {
    return new SidecarHost(SidecarSettingsSchema.parse({
      role: "sidecar",
      node: this.#nodeSection(`sidecar-${id}`, peerPort),
      platform: this.#platformSection(),
      sidecar: {
        endpoint_id: id,
        endpoint_url: `http://127.0.0.1:${enginePort}`,
        pool,
      },
    }));
  }

  async #startRouter(id: string): Promise<void> {
    const peerPort = (await reservePorts("127.0.0.1", 1))[0]!;
    const router = await RouterHost.create(RouterSettingsSchema.parse({
      role: "router",
      node: this.#nodeSection(id, peerPort),
      platform: this.#platformSection(),
      router: { http_port: 0, admin_port: 0, body_timeout_ms: 1500 },
    }));
    this.routers.push(router);
    const addresses = await router.start();
    this.addresses.push(addresses);
    this.instanceList.put({
      instance_id: id,
      role: "router",
      pool: "",
      address: addresses.peer_address,
      failure_domain: "a",
      state: "live",
    });
  }

  #nodeSection(id: string, peerPort: number) {
    return {
      id,
      failure_domain: "a",
      peer_port: peerPort,
      fleet_key: FLEET_KEY,
      log_level: "error",
      seed: 1,
    };
  }

  #platformSection() {
    return {
      object_api_url: this.objectApi.url,
      instance_list_url: this.instanceList.url,
    };
  }

  async #writeConfig(): Promise<void> {
    const store = new HttpObjectStore({
      url: this.objectApi.url,
      requestTimeoutMs: 1000,
    });
    const { manifest, sections } = splitBundle(BUNDLE, sha256Hex);
    for (const [digest, content] of Object.entries(sections)) {
      await store.create(`config/sections/${digest}`, content);
    }
    const digest = manifestDigest(manifest, sha256Hex);
    await store.create("config/versions/1", {
      version: 1,
      digest,
      manifest,
      activation_id: "a-1",
      proposal_id: "p-1",
      kind: "change",
      note: "fault tests",
      based_on_version: 0,
      proposed_by: "proposer",
      proposed_at_ms: 1,
      approved_by: "approver",
      approved_at_ms: 1,
      activated_by: "approver",
      activated_at_ms: 1,
    });
    await store.create("config/active", { version: 1, digest });
    store.dispose();
  }
}

/**
 * Polls until `holds` is true; throws an error naming `condition` after 15 s.
 */
export async function waitUntil(
  condition: string,
  holds: () => boolean | Promise<boolean>,
): Promise<void> {
  const endMs = performance.now() + READY_TIMEOUT_MS;
  while (!await holds()) {
    if (performance.now() > endMs) {
      throw new Error(`Timed out waiting for: ${condition}`);
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function sha256Hex(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

const BUNDLE: Bundle = BundleSchema.parse({
  accounts: [{
    name: "wiki",
    key_hashes: [sha256Hex(CLIENT_KEY)],
    max_requests_per_s: 1000,
    burst_requests: 1000,
  }],
  pools: [
    { name: "models", kind: "model", models: [MODEL] },
    { name: "services", kind: "service", dialect: "plain" },
  ],
  services: [{
    name: "approvals",
    pool: "services",
    routes: [{ method: "POST", path_prefix: "/", idempotent: false }],
  }],
});
