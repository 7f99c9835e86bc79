import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { pipeline } from "node:stream/promises";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type CallHead,
  type DirectAccount,
  type DirectRoute,
  type EndpointRecord,
  type Millis,
  pickTarget,
  rankByRendezvous,
  type RoutingConfig,
  RoutingConfigIndex,
} from "@anvildeal/core";
import {
  type Collection,
  type DirectSettings,
  endToEndHeaders,
  httpConnector,
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

/**
 * A ranked endpoint counts as full when this process has this many requests in
 * flight at the endpoint.
 */
const MAX_IN_FLIGHT = 8;

/**
 * Number of ranked endpoints that are tried for a prompt; if all of them are
 * full, the least loaded endpoint is chosen instead.
 */
const MAX_RANKED_ENDPOINTS = 3;

const CONNECT_TIMEOUT_MS: Millis = 10_000;

const DEFAULT_DEADLINE_MS: Millis = 60_000;

/**
 * Time for which the server still accepts connections after readiness is
 * withdrawn.
 */
const LISTENER_CLOSE_DELAY_MS: Millis = 3000;

const STOP_POLL_MS: Millis = 50;

interface ForwardedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  readonly call: CallHead;
  readonly route: DirectRoute;
  readonly account: DirectAccount | undefined;
}

/**
 * Forwards each request to one endpoint, without retries. The bench compares the
 * router with this baseline.
 */
export class PassThrough {
  readonly #settings: DirectSettings;
  readonly #dialect = new PlatformDialect();
  readonly #agent = new Agent({
    keepAliveTimeout: 5000,
    connect: httpConnector(CONNECT_TIMEOUT_MS),
  });
  readonly #configs: Collection<RoutingConfig>;
  readonly #endpoints: Collection<EndpointRecord>;
  readonly #callerServer: Server;
  readonly #readinessServer: Server;
  readonly #inFlight = new Map<string, number>();
  #routes: RoutingConfigIndex | undefined;
  #endpointRecords: readonly EndpointRecord[] = [];
  #openRequests = 0;
  #stopping = false;
  #pollTimer: NodeJS.Timeout | undefined;

  constructor(settings: DirectSettings) {
    this.#settings = settings;
    const client = new ObjectClient(settings.directoryAddress);
    this.#configs = new ObjectCollection(client, KIND.config, decodeConfig);
    this.#endpoints = new ObjectCollection(
      client,
      KIND.endpoints,
      decodeEndpoint,
    );
    this.#callerServer = createServer((request, response) => {
      this.#openRequests++;
      void this.#serve(request, response).finally(() => this.#openRequests--);
    });
    this.#readinessServer = createServer((_request, response) => {
      response.writeHead(this.#routes && !this.#stopping ? 200 : 503).end();
    });
  }

  /**
   * Reads the object store once and starts to listen; rejects if an address is
   * in use.
   */
  async start(): Promise<void> {
    const { callerAddress, readyAddress } = this.#settings;
    await this.#pollStore();
    await listen(this.#callerServer, callerAddress);
    if (readyAddress !== undefined) {
      await listen(this.#readinessServer, readyAddress);
    }
    this.#pollTimer = setInterval(() => void this.#pollStore(), POLL_MS);
  }

  /**
   * Withdraws readiness, stops listening after {@link LISTENER_CLOSE_DELAY_MS}
   * and waits until no request is in flight or `stopGraceMs` has passed since
   * the call; then closes all connections.
   */
  async stop(): Promise<void> {
    const startedMs = performance.now();
    this.#stopping = true;
    await sleep(LISTENER_CLOSE_DELAY_MS);
    this.#callerServer.close();
    while (
      this.#openRequests > 0 &&
      performance.now() - startedMs < this.#settings.stopGraceMs
    ) {
      await sleep(STOP_POLL_MS);
    }
    this.dispose();
  }

  /**
   * Stops listening and closes all connections at once, also those of requests
   * in flight.
   */
  dispose(): void {
    clearInterval(this.#pollTimer);
    for (const server of [this.#callerServer, this.#readinessServer]) {
      server.close();
      server.closeAllConnections();
    }
    void this.#agent.destroy();
  }

  async #pollStore(): Promise<void> {
    const { signal } = new AbortController();
    try {
      const [configs, endpoints] = await Promise.all([
        this.#configs.list(signal),
        this.#endpoints.list(signal),
      ]);
      for (const config of configs.upserts) {
        if (config.version > (this.#routes?.version ?? -1)) {
          this.#routes = new RoutingConfigIndex(config);
        }
      }
      this.#endpointRecords = endpoints.upserts;
    } catch (error) {
      // The last configuration and endpoints stay in use until a poll succeeds.
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
      const endpoint = this.#chooseEndpoint(call, route);
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

  /**
   * Returns the first endpoint that is not full in the ranking for the prompt's
   * last shared part. If all ranked ones are full or the prompt has no parts,
   * returns the least loaded endpoint; undefined if no endpoint is ready.
   */
  #chooseEndpoint(
    call: CallHead,
    route: DirectRoute,
  ): EndpointRecord | undefined {
    const sharedPart = call.promptParts.at(-2)?.id ??
      call.promptParts.at(-1)?.id;
    const service = pickTarget(route, sharedPart ?? call.callId ?? "");
    const pool = this.#endpointRecords.filter((record) =>
      record.service === service && record.state === "ready"
    );
    const load = ({ id }: EndpointRecord) => this.#inFlight.get(id) ?? 0;
    if (sharedPart !== undefined) {
      for (
        const id of rankByRendezvous(
          sharedPart,
          pool.map(({ id }) => id),
          MAX_RANKED_ENDPOINTS,
        )
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
    { account, body, call, request, response, route }: ForwardedRequest,
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
    const abortController = new AbortController();
    response.on("close", () => abortController.abort());
    const timer = setTimeout(() => {
      abortController.abort();
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
          signal: abortController.signal,
          responseHeaders: "raw",
        },
      );
      // With `responseHeaders: "raw"`, undici returns header names and values
      // alternately.
      const rawHeaders = answer.headers as unknown as string[];
      response.sendDate = false;
      response.writeHead(
        answer.statusCode,
        endToEndHeaders(rawHeaders.map(String), false),
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
        attemptNumber: 1,
        endpointId: endpoint.id,
        incarnation: endpoint.incarnation,
        address: endpoint.address,
        callId: undefined,
        deadlineMs,
        accountName: account?.name,
        urgency: undefined,
        resume: false,
        retryable: false,
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
