import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  BodyReader,
  callerAddressOf,
  type CallerHolding,
  type ConnectionState,
} from "../caller_memory/index.js";

/** What a request takes beside its head and its body. */
const REQUEST_BYTES = 4 * 1024;

/** A request from its head until its caller has taken the response, or has gone. */
export class OpenRequest {
  readonly requestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly holding: CallerHolding;
  readonly reader: BodyReader;
  /** Whether the request was passed on and may run. */
  isRunning = false;

  constructor(
    requestId: string,
    request: IncomingMessage,
    response: ServerResponse,
    holding: CallerHolding,
    maxBodyBytes: number,
  ) {
    this.requestId = requestId;
    this.request = request;
    this.response = response;
    this.holding = holding;
    this.reader = new BodyReader(request, { holding, maxBodyBytes });
  }

  /** Adds the head to the memory for callers; returns whether there is room. */
  holdHead(): boolean {
    const { rawHeaders, url = "" } = this.request;
    const bytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
    return this.holding.grow(REQUEST_BYTES + url.length + bytes);
  }
}

/** A caller's connection and its requests whose responses are not taken whole. */
export class CallerConnection implements ConnectionState {
  readonly socket: Socket;
  readonly address: string;
  readonly requests = new Set<OpenRequest>();
  /** Number of requests that are not answered because the connection is closing. */
  droppedCount = 0;
  #hadRequest = false;

  constructor(socket: Socket) {
    this.socket = socket;
    this.address = callerAddressOf(socket);
  }

  get activity(): ConnectionState["activity"] {
    if ([...this.requests].some(({ isRunning }) => isRunning)) {
      return "running";
    }
    return this.requests.size === 0 && this.#hadRequest ? "idle" : "incomplete";
  }

  add(request: OpenRequest): void {
    this.#hadRequest = true;
    this.requests.add(request);
  }

  /** Number of requests whose responses the caller has not taken whole. */
  get unansweredCount(): number {
    return this.requests.size + this.droppedCount;
  }

  /** Bytes held for the requests on this connection. */
  get heldBytes(): number {
    return [...this.requests].reduce(
      (sum, { holding }) => sum + holding.heldBytes,
      0,
    );
  }
}
