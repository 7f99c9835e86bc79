import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  BodyReader,
  callerAddressOf,
  type CallerHolding,
  type ConnectionState,
} from "../caller_memory/index.js";

/**
 * `reading`: the body arrives; `waiting`: it is complete; `passed_on`: the request
 * may run; `refused`: it never will; `ended`: its caller has taken the answer or has
 * gone.
 */
export type EdgeRequestPhase =
  | "reading"
  | "waiting"
  | "passed_on"
  | "refused"
  | "ended";

/** A request on a connection, from its head until its caller has taken the answer. */
export class EdgeRequest {
  /** Unique among the requests of the server. */
  readonly key: number;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly connection: EdgeConnection;
  readonly holding: CallerHolding;
  readonly reader: BodyReader;
  phase: EdgeRequestPhase = "reading";
  /** The complete body of a request that waits. */
  body: Buffer | undefined;

  constructor(
    key: number,
    request: IncomingMessage,
    response: ServerResponse,
    connection: EdgeConnection,
    holding: CallerHolding,
    maxBodyBytes: number,
  ) {
    this.key = key;
    this.request = request;
    this.response = response;
    this.connection = connection;
    this.holding = holding;
    this.reader = new BodyReader(request, { holding, maxBodyBytes });
  }

  /** Whether the caller cannot get an answer any more. */
  get isGone(): boolean {
    const { socket } = this.connection;
    return this.response.closed || socket.destroyed || socket.readableEnded;
  }
}

/** A caller's connection and its requests whose answers are not taken whole. */
export class EdgeConnection implements ConnectionState {
  readonly socket: Socket;
  readonly address: string;
  /** In the order of their heads. */
  readonly requests: EdgeRequest[] = [];
  /** Functions that pass on complete requests, which wait for earlier answers. */
  readonly waiting: (() => void)[] = [];
  /** Number of requests that were passed on and have not ended. */
  runningCount = 0;
  #hadRequest = false;

  constructor(socket: Socket) {
    this.socket = socket;
    this.address = callerAddressOf(socket);
  }

  get activity(): ConnectionState["activity"] {
    if (this.runningCount > 0) {
      return "running";
    }
    return this.requests.length === 0 && this.#hadRequest
      ? "idle"
      : "incomplete";
  }

  /** Bytes held for the requests on this connection. */
  get heldBytes(): number {
    return this.requests.reduce(
      (sum, { holding }) => sum + holding.heldBytes,
      0,
    );
  }

  add(request: EdgeRequest): void {
    this.#hadRequest = true;
    this.requests.push(request);
  }

  /** Returns whether the request was among those of the connection. */
  remove(request: EdgeRequest): boolean {
    const index = this.requests.indexOf(request);
    if (index >= 0) {
      this.requests.splice(index, 1);
    }
    return index >= 0;
  }
}
