import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { pipeline } from "node:stream/promises";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type DirectAccount,
  type DirectCall,
  type DirectRoute,
  type EndpointRecord,
  type Millis,
  pickTarget,
  rankByRendezvous,
  RouteTable,
  type RoutingConfig,
} from "@anvildeal/core";
import {
  type Collection,
  type DirectSettings,
  endToEndHeaders,
} from "@anvildeal/daemon";
import {
  decodeConfig,
  decodeEndpoint,
  KIND,
  ObjectClient,
  ObjectCollection,
  PlatformDialect,
} from "@anvildeal/platform";
import { Agent, request as sendRequest } from "undici";

const POLL_MS: Millis = 500;

/** Requests of this process that an endpoint may hold. */
const MAX_IN_FLIGHT = 8;

/** Endpoints that are tried for one prompt before the least loaded one. */
const CHOICES = 3;

const DEFAULT_DEADLINE_MS: Millis = 60_000;

/** New callers may still arrive this long after readiness was withdrawn. */
const STOP_LISTEN_AFTER_MS: Millis = 3000;

const STOP_POLL_MS: Millis = 50;

interface PassedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  readonly call: DirectCall;
  readonly route: DirectRoute;
  readonly account: DirectAccount | undefined;
}

/** Passes each request to one endpoint; the arm the router is compared with. */
export class PassThrough {
  readonly #settings: DirectSettings;
  readonly #dialect = new PlatformDialect();
  readonly #agent = new Agent({ keepAliveTimeout: 5000 });
  readonly #configs: Collection<RoutingConfig>;
  readonly #endpoints: Collection<EndpointRecord>;
  readonly #edge: Server;
  readonly #ready: Server;
  readonly #inFlight = new Map<string, number>();
  #routes: RouteTable | undefined;
  #records: readonly EndpointRecord[] = [];
  #requests = 0;
  #stopping = false;
  #poll: NodeJS.Timeout | undefined;

  constructor(settings: DirectSettings) {
    this.#settings = settings;
    const client = new ObjectClient(settings.directoryAddress);
    this.#configs = new ObjectCollection(client, KIND.config, decodeConfig);
    this.#endpoints = new ObjectCollection(
      client,
      KIND.endpoints,
      decodeEndpoint,
    );
    this.#edge = createServer((request, response) => {
      this.#requests++;
      void this.#serve(request, response).finally(() => this.#requests--);
    });
    this.#ready = createServer((_request, response) => {
      response.writeHead(this.#routes && !this.#stopping ? 200 : 503).end();
    });
  }

  async start(): Promise<void> {
    const { callerAddress, readyAddress } = this.#settings;
    await this.#read();
    await listen(this.#edge, callerAddress);
    if (readyAddress !== undefined) {
      await listen(this.#ready, readyAddress);
    }
    this.#poll = setInterval(() => void this.#read(), POLL_MS);
  }

  /** Ends the requests in flight, within the grace time. */
  async stop(): Promise<void> {
    const startedMs = performance.now();
    this.#stopping = true;
    await sleep(STOP_LISTEN_AFTER_MS);
    this.#edge.close();
    while (
      this.#requests > 0 &&
      performance.now() - startedMs < this.#settings.stopGraceMs
    ) {
      await sleep(STOP_POLL_MS);
    }
    this.dispose();
  }

  dispose(): void {
    clearInterval(this.#poll);
    for (const server of [this.#edge, this.#ready]) {
      server.close();
      server.closeAllConnections();
    }
    void this.#agent.destroy();
  }

  async #read(): Promise<void> {
    const { signal } = new AbortController();
    try {
      const [configs, endpoints] = await Promise.all([
        this.#configs.list(signal),
        this.#endpoints.list(signal),
      ]);
      for (const config of configs.upserts) {
        if (config.version > (this.#routes?.version ?? -1)) {
          this.#routes = new RouteTable(config);
        }
      }
      this.#records = endpoints.upserts;
    } catch (error) {
      // What was read last stays in use; the next poll tries again.
      process.stdout.write(`{"event":"poll_failed","detail":"${error}"}\n`);
    }
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const receivedMs = performance.now();
    try {
      const body = await readBody(request);
      const call = this.#dialect.readCall(request, body.length);
      const route = this.#routes?.match(call.host, call.path);
      if (!this.#routes || !route) {
        respond(response, this.#routes ? 404 : 503);
        return;
      }
      const account = this.#routes.accountOf(call.apiKey ?? "");
      if (this.#routes.needsKeys && !account && !route.open) {
        respond(response, 401);
        return;
      }
      const endpoint = this.#choose(call, route);
      if (!endpoint) {
        respond(response, 503);
        return;
      }
      await this.#forward(
        { request, response, body, call, route, account },
        endpoint,
        receivedMs,
      );
    } catch (error) {
      process.stdout.write(`{"event":"request_failed","detail":"${error}"}\n`);
      if (response.headersSent) {
        response.destroy();
      } else {
        respond(response, 502);
      }
    }
  }

  /** The first choice by the prompt's start that is not full. */
  #choose(call: DirectCall, route: DirectRoute): EndpointRecord | undefined {
    const shared = call.promptParts.at(-2)?.id ?? call.promptParts.at(-1)?.id;
    const service = pickTarget(route, shared ?? call.callId ?? "");
    const pool = this.#records.filter((record) =>
      record.service === service && record.state === "ready"
    );
    const load = ({ id }: EndpointRecord) => this.#inFlight.get(id) ?? 0;
    if (shared !== undefined) {
      for (
        const id of rankByRendezvous(shared, pool.map(({ id }) => id), CHOICES)
      ) {
        const endpoint = pool.find((record) => record.id === id)!;
        if (load(endpoint) < MAX_IN_FLIGHT) {
          return endpoint;
        }
      }
    }
    return [...pool].sort((a, b) => load(a) - load(b))[0];
  }

  async #forward(
    { account, body, call, request, response, route }: PassedRequest,
    endpoint: EndpointRecord,
    receivedMs: Millis,
  ): Promise<void> {
    const limitMs = Math.min(
      call.deadlineMs ?? DEFAULT_DEADLINE_MS,
      route.timeoutMs ?? DEFAULT_DEADLINE_MS,
    );
    const deadlineMs = Math.floor(
      limitMs - (performance.now() - receivedMs),
    );
    const aborted = new AbortController();
    response.on("close", () => aborted.abort());
    const timer = setTimeout(() => {
      aborted.abort();
      respond(response, 504);
    }, deadlineMs);
    this.#inFlight.set(endpoint.id, (this.#inFlight.get(endpoint.id) ?? 0) + 1);
    try {
      const answer = await sendRequest(
        `http://${endpoint.address}${request.url}`,
        {
          dispatcher: this.#agent,
          method: request.method ?? "GET",
          headers: this.#headers(request, endpoint, account, deadlineMs),
          body: body.length > 0 ? body : null,
          signal: aborted.signal,
          responseHeaders: "raw",
        },
      );
      // With this option undici returns the names and values in turn.
      const raw = answer.headers as unknown as string[];
      response.sendDate = false;
      response.writeHead(
        answer.statusCode,
        endToEndHeaders(raw.map(String), false),
      );
      response.flushHeaders();
      await pipeline(answer.body, response);
    } finally {
      clearTimeout(timer);
      this.#inFlight.set(endpoint.id, this.#inFlight.get(endpoint.id)! - 1);
    }
  }

  #headers(
    request: IncomingMessage,
    endpoint: EndpointRecord,
    account: DirectAccount | undefined,
    deadlineMs: Millis,
  ): string[] {
    return this.#dialect.requestHeaders(
      endToEndHeaders(request.rawHeaders, true),
      {
        type: "start_attempt",
        key: 0,
        attempt: 1,
        endpointId: endpoint.id,
        address: endpoint.address,
        deadlineMs,
        accountName: account?.name,
        urgency: undefined,
        resume: false,
        idempotent: false,
        resumable: true,
        fetchCacheFrom: undefined,
      },
      this.#dialect.lastEventIdOf(request),
    );
  }
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

function respond(response: ServerResponse, status: number): void {
  if (!response.headersSent && !response.destroyed) {
    response.writeHead(status, { "Content-Length": "0" }).end();
  }
}

function listen(server: Server, address: string): Promise<void> {
  const at = address.lastIndexOf(":");
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(
      Number(address.slice(at + 1)),
      address.slice(0, at),
      () => resolve(),
    );
  });
}
