// Callers that write requests to raw sockets and record what happened to each.

import { connect } from "node:net";
import { HOST, KEY } from "./site.js";

const HEAD_END = "\r\n\r\n";
const LAST_CHUNK = "0\r\n\r\n";

let requestCount = 0;

/** Id of a new request. */
export function nextRequestId(prefix = "q") {
  return `${prefix}-${++requestCount}`;
}

/** Returns a request as a caller writes it. */
export function requestText(id, path, options = {}) {
  const { body = "", deadlineMs = 4000, headers = [], method = "POST" } =
    options;
  return [
    `${method} ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `Anvildeal-Attempt-Id: ${id}`,
    `Anvildeal-Deadline-Ms: ${deadlineMs}`,
    `X-Api-Key: ${options.key ?? KEY}`,
    ...headers,
    `Content-Length: ${body.length}`,
    "",
    body,
  ].join("\r\n");
}

/** Headers of a prompt with these parts. */
export function promptHeaders(parts, outputTokens = 80) {
  const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0);
  return [
    "Anvildeal-Model: m",
    `Anvildeal-Token-Count: ${promptTokens},${outputTokens}`,
    `Anvildeal-Prompt-Prefix: ${
      parts.map(({ id, tokens }) => `${id}:${tokens}`).join(",")
    }`,
  ];
}

/** Whether these bytes are a whole answer. */
export function isWhole(text) {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) {
    return false;
  }
  const length = /^content-length: (\d+)/im.exec(text.slice(0, headEnd + 2))
    ?.[1];
  return length === undefined
    ? text.endsWith(LAST_CHUNK)
    : text.length >= headEnd + HEAD_END.length + Number(length);
}

/** A connection that a caller keeps for one request after the other. */
export class CallerConnection {
  #socket;
  #received = "";
  #onChange = () => {};
  usedCount = 0;
  hasEnded = false;

  constructor(router) {
    this.#socket = connect(router.frontPort, router.ip);
    this.#socket.setNoDelay(true);
    this.#socket.setEncoding("latin1");
    this.#socket.on("data", (text) => {
      this.#received += text;
      this.#onChange();
    });
    const end = () => {
      this.hasEnded = true;
      this.#onChange();
    };
    this.#socket.on("end", end);
    this.#socket.on("error", end);
    this.#socket.on("close", end);
  }

  /**
   * Sends a request and resolves when its answer is whole, when the connection ends
   * or when the caller has waited for this long.
   */
  async send(id, path, options = {}) {
    const sentMs = performance.now();
    const wasKept = this.usedCount++ > 0;
    this.#received = "";
    this.#socket.write(requestText(id, path, options));
    await new Promise((resolve) => {
      const timer = setTimeout(resolve, options.waitMs ?? 5000);
      this.#onChange = () => {
        if (this.hasEnded || isWhole(this.#received)) {
          clearTimeout(timer);
          resolve();
        }
      };
      this.#onChange();
    });
    const text = this.#received;
    return {
      id,
      path,
      sentMs,
      wasKept,
      tookMs: performance.now() - sentMs,
      status: Number(text.slice(9, 12)) || undefined,
      text,
      whole: isWhole(text),
      closed: this.hasEnded,
    };
  }

  close() {
    this.#socket.destroy();
  }
}
