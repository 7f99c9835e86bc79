import type { StoredObject } from "@anvildeal/core";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** Fault that replaces the normal handling of one request. */
export type ServerFault =
  /** The connection is reset before or after the request takes effect. */
  | { type: "reset"; applied: boolean }
  /** The connection is reset; a write takes effect at `applyDelayed`. */
  | { type: "delay" }
  /** No response is sent; the connection stays open. */
  | { type: "silent" }
  /** The given response is sent; the request takes no effect. */
  | { type: "answer"; status: number; body: string }
  /** The request takes effect; the response is cut off after its first byte. */
  | { type: "cut" };

/** HTTP server with the object API and scripted faults, for client tests. */
export class ObjectServer {
  readonly objects = new Map<string, StoredObject>();
  /**
   * Faults that are applied to the next requests in order, one to each request
   * except watches. A request whose entry is `undefined` is handled normally.
   */
  readonly faults: (ServerFault | undefined)[] = [];
  /**
   * Fault that is applied to every request except watches when `faults` is
   * empty.
   */
  outage: ServerFault | undefined;
  readonly sockets: Socket[] = [];
  /** Sockets whose requests get no response. */
  readonly stalledSockets = new Set<Socket>();
  readonly requests: string[] = [];
  readonly #server: Server;
  readonly #lastVersions = new Map<string, number>();
  readonly #delayedWrites: (() => void)[] = [];

  private constructor() {
    this.#server = createServer((request, response) => {
      void this.#serve(request, response);
    });
    this.#server.on("connection", (socket) => this.sockets.push(socket));
  }

  static async start(): Promise<ObjectServer> {
    const server = new ObjectServer();
    await new Promise<void>((resolve) =>
      server.#server.listen(0, "127.0.0.1", resolve)
    );
    return server;
  }

  get url(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Applies the delayed writes whose conditions now hold. */
  applyDelayed(): void {
    for (const apply of this.#delayedWrites.splice(0)) {
      apply();
    }
  }

  async dispose(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#server.closeAllConnections();
    await closed;
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = Buffer.concat(await request.toArray() as Buffer[]);
    this.requests.push(`${request.method} ${request.url}`);
    const url = new URL(request.url ?? "", "http://unused");
    const [, kind, ...rest] = url.pathname.split("/");
    const key = rest.map(decodeURIComponent).join("/");
    if (this.stalledSockets.has(request.socket)) {
      return;
    }
    if (kind === "watch") {
      return this.#watch(key, url, response);
    }
    const apply = () => this.#apply(request, url, key, body);
    const fault = this.faults.length > 0 ? this.faults.shift() : this.outage;
    if (fault === undefined) {
      return send(response, ...apply());
    }
    this.#injectFault(fault, response, apply);
  }

  #injectFault(
    fault: ServerFault,
    response: ServerResponse,
    apply: () => [number, unknown],
  ): void {
    switch (fault.type) {
      case "reset":
        if (fault.applied) {
          apply();
        }
        response.destroy();
        break;
      case "delay":
        this.#delayedWrites.push(apply);
        response.destroy();
        break;
      case "answer":
        response.writeHead(fault.status).end(fault.body);
        break;
      case "cut": {
        const text = JSON.stringify(apply()[1] ?? {});
        response.writeHead(200, { "content-length": text.length });
        response.write(text.slice(0, 1), () => response.destroy());
        break;
      }
      case "silent":
        break;
    }
  }

  #apply(
    request: IncomingMessage,
    url: URL,
    key: string,
    body: Buffer,
  ): [number, unknown] {
    if (key === "") {
      return [200, { items: this.#list(url.searchParams) }];
    }
    const current = this.objects.get(key);
    if (request.method === "GET") {
      return current === undefined ? [404, {}] : [200, current];
    }
    const isDelete = request.method === "DELETE";
    if (isDelete && current === undefined) {
      return [404, {}];
    }
    const condition = request.headers["if-none-match"] === "*"
      ? undefined
      : request.headers["if-match"];
    if (condition !== (current && `"${current.version}"`)) {
      return [412, current ?? null];
    }
    const version = (this.#lastVersions.get(key) ?? 0) + 1;
    this.#lastVersions.set(key, version);
    if (isDelete) {
      this.objects.delete(key);
      return [204, undefined];
    }
    const value: unknown = JSON.parse(body.toString());
    this.objects.set(key, { key, version, value });
    return [200, { version }];
  }

  #list(query: URLSearchParams): StoredObject[] {
    return [...this.objects.values()]
      .filter(({ key }) => key.startsWith(query.get("prefix") ?? ""))
      .filter(({ key }) => key > (query.get("after") ?? ""))
      .sort((a, b) => a.key < b.key ? -1 : 1)
      .slice(0, Number(query.get("limit")));
  }

  /** Implements a watch by polling; tests have at most a few watches. */
  async #watch(key: string, url: URL, response: ServerResponse): Promise<void> {
    const after = Number(url.searchParams.get("after"));
    const timeoutMs = Number(url.searchParams.get("timeout_ms"));
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs && !response.destroyed) {
      const current = this.objects.get(key);
      if (current !== undefined && current.version > after) {
        return send(response, 200, current);
      }
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    send(response, 304);
  }
}

function send(response: ServerResponse, status: number, body?: unknown): void {
  if (!response.destroyed && !response.writableEnded) {
    response.writeHead(status).end(body && JSON.stringify(body));
  }
}
