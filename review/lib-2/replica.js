// Raw stand-in of a replica: reads requests from sockets, and lets a function write
// the bytes of each answer.

import { createServer } from "node:net";

const HEAD_END = "\r\n\r\n";

/** Splits bytes into one request and the rest; undefined if they are not enough. */
export function takeRequest(bytes) {
  const text = bytes.toString("latin1");
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) {
    return undefined;
  }
  const [requestLine, ...headerLines] = text.slice(0, headEnd).split("\r\n");
  const [method, path] = requestLine.split(" ");
  const headers = new Map();
  for (const line of headerLines) {
    const colon = line.indexOf(":");
    headers.set(
      line.slice(0, colon).toLowerCase(),
      line.slice(colon + 1).trim(),
    );
  }
  const bodyStart = headEnd + HEAD_END.length;
  if (headers.get("transfer-encoding") === "chunked") {
    const end = text.indexOf(`0${HEAD_END}`, bodyStart);
    if (end < 0) {
      return undefined;
    }
    const stop = end + 1 + HEAD_END.length;
    return {
      request: { method, path, headers, headerLines, body: undefined },
      rest: bytes.subarray(stop),
    };
  }
  const length = Number(headers.get("content-length") ?? 0);
  if (bytes.length < bodyStart + length) {
    return undefined;
  }
  const body = bytes.subarray(bodyStart, bodyStart + length);
  return {
    request: { method, path, headers, headerLines, body },
    rest: bytes.subarray(bodyStart + length),
  };
}

/** Replica of a service. `answer` gets each request and the socket to write to. */
export class Replica {
  requests = [];
  sockets = new Set();
  #server;

  constructor(id, answer) {
    this.id = id;
    this.answer = answer;
  }

  async start(host = "127.0.0.1", port = 0) {
    this.#server = createServer((socket) => this.#serve(socket));
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    this.host = host;
    this.port = this.#server.address().port;
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  /** Stops to accept connections; those that are open go on. */
  closePort() {
    this.#server.close();
  }

  stop() {
    this.#server?.close();
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  entry(service, fields = {}) {
    return {
      service,
      address: this.address,
      zone: "z1",
      version: "v1",
      slots: 64,
      state: "ready",
      cold_remaining_ms: 0,
      seq: 1,
      born: 1_700_000_000_000,
      ...fields,
    };
  }

  #serve(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {
      // The close event follows.
    });
    socket.on("close", () => this.sockets.delete(socket));
    let bytes = Buffer.alloc(0);
    socket.on("data", (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      for (;;) {
        const taken = takeRequest(bytes);
        if (!taken) {
          return;
        }
        bytes = taken.rest;
        this.#handle(taken.request, socket);
      }
    });
  }

  #handle(request, socket) {
    const received = { ...request, atMs: performance.now() };
    this.requests.push(received);
    const expected = request.headers.get("anvildeal-expect-replica");
    if (expected !== undefined && expected !== this.id) {
      socket.write(
        `HTTP/1.1 421 Misdirected\r\nAnvildeal-Replica-Id: ${this.id}\r\nAnvildeal-Attempt-Id: ${
          request.headers.get("anvildeal-attempt-id")
        }\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    this.answer(received, socket, this);
  }
}

/** Head of a signed answer. */
export function signedHead(request, lines, status = "200 OK") {
  return [
    `HTTP/1.1 ${status}`,
    `Anvildeal-Attempt-Id: ${request.headers.get("anvildeal-attempt-id")}`,
    "Anvildeal-Response-Seal: seal",
    ...lines,
    "",
    "",
  ].join("\r\n");
}
