import { connect } from "node:net";
import { SITE } from "../../platform/dist/stand_in/index.js";

const HEAD_END = "\r\n\r\n";

/** Text of a request as a caller of the platform sends it. */
export function requestText(method, path, callId, options = {}) {
  const { body = "", deadlineMs = 15_000, headers = {} } = options;
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${SITE.host}`,
    `Anvildeal-Attempt-Id: ${callId}`,
    `Anvildeal-Deadline-Ms: ${deadlineMs}`,
    `X-Api-Key: ${SITE.key}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    ...(method === "GET" ? [] : [`Content-Length: ${body.length}`]),
  ];
  return lines.join("\r\n") + HEAD_END + body;
}

/** A connection to a router on which one request is sent at a time. */
export class RawCaller {
  #received = Buffer.alloc(0);
  #waiting;
  #ending;

  constructor(ip, port) {
    this.socket = connect({ host: ip, port, noDelay: true });
    this.socket.on("data", (data) => {
      this.#received = Buffer.concat([this.#received, data]);
      this.#advance();
    });
    this.socket.once("end", () => {
      // After a reset that was read together with the last bytes, the socket
      // has no peer any more.
      const isReset = this.socket.remoteAddress === undefined;
      this.#end(isReset ? "reset" : "closed");
    });
    this.socket.once("error", () => this.#end("reset"));
    this.socket.once("close", () => this.#end("closed"));
  }

  /** How the connection ended: `closed`, `reset`, or undefined. */
  get ending() {
    return this.#ending;
  }

  /**
   * Sends a request and resolves with its answer: `status` is 0 without a head,
   * and `complete` tells whether the answer ended as its framing says.
   */
  send(text, { onBody, isHead = false } = {}) {
    return new Promise((resolve) => {
      this.#waiting = { resolve, isHead, onBody };
      if (this.#ending) {
        this.#finish();
        return;
      }
      this.socket.write(text);
    });
  }

  close() {
    this.socket.destroy();
  }

  #end(ending) {
    this.#ending ??= ending;
    this.#advance();
    if (this.#waiting) {
      this.#finish();
    }
    this.socket.destroy();
  }

  #advance() {
    if (!this.#waiting) {
      return;
    }
    const answer = parseAnswer(this.#received, this.#ending === "closed");
    if (!answer) {
      return;
    }
    this.#waiting.onBody?.(answer.body);
    if (answer.complete) {
      this.#received = this.#received.subarray(answer.bytes);
      this.#finish(answer);
    }
  }

  #finish(answer = parseAnswer(this.#received, false)) {
    const { resolve } = this.#waiting;
    this.#waiting = undefined;
    resolve({
      ...(answer ?? { status: 0, headers: {}, body: "", complete: false }),
      ending: this.#ending,
    });
  }
}

/** Returns the answer as far as it has arrived; undefined before its head. */
function parseAnswer(received, isClosed) {
  const headEnd = received.indexOf(HEAD_END);
  if (headEnd < 0) {
    return undefined;
  }
  const [statusLine, ...lines] = received.subarray(0, headEnd).toString(
    "latin1",
  )
    .split("\r\n");
  const headers = Object.fromEntries(lines.map((line) => {
    const colon = line.indexOf(":");
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }));
  const bodyStart = headEnd + HEAD_END.length;
  const rest = received.subarray(bodyStart);
  const head = { status: Number(statusLine.split(" ")[1]), headers };
  if (headers["transfer-encoding"] === "chunked") {
    const { body, complete, bytes } = parseChunks(rest);
    return { ...head, body, complete, bytes: bodyStart + bytes };
  }
  if (headers["content-length"] !== undefined) {
    const length = Number(headers["content-length"]);
    return {
      ...head,
      body: rest.subarray(0, length).toString(),
      complete: rest.length >= length,
      bytes: bodyStart + length,
    };
  }
  // The end of the connection ends the body (RFC 9112, section 6.3).
  return {
    ...head,
    body: rest.toString(),
    complete: isClosed,
    bytes: received.length,
  };
}

function parseChunks(rest) {
  const parts = [];
  let position = 0;
  for (;;) {
    const lineEnd = rest.indexOf("\r\n", position);
    if (lineEnd < 0) {
      break;
    }
    const length = parseInt(rest.toString("latin1", position, lineEnd), 16);
    const start = lineEnd + 2;
    if (rest.length < start + length + 2) {
      parts.push(rest.subarray(start, start + length));
      break;
    }
    parts.push(rest.subarray(start, start + length));
    position = start + length + 2;
    if (length === 0) {
      const body = Buffer.concat(parts).toString();
      return { body, complete: true, bytes: position };
    }
  }
  return { body: Buffer.concat(parts).toString(), complete: false, bytes: 0 };
}
