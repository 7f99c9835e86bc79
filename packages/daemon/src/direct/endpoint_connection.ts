import type { Socket } from "node:net";
import type { ConnectionEnding, Millis } from "@anvildeal/core";
import { Client, type Dispatcher } from "undici";
import { openHttpSocket } from "../net/index.js";

/**
 * Connecting to another instance normally takes a few milliseconds; after this
 * time the attempt to connect is given up.
 */
const CONNECT_TIMEOUT_MS: Millis = 250;

/** Idle timeout assumed of an endpoint that announces none. */
const DEFAULT_IDLE_TIMEOUT_MS: Millis = 4000;

/** A connection on which more requests were refused is not used again. */
const MAX_REFUSALS = 64;

/** Endpoints may close a connection this much before their idle timeout. */
const IDLE_MARGIN_MS: Millis = 400;

/** One connection to an endpoint, for one request at a time. */
export class EndpointConnection {
  readonly #client: Client;
  #socket: Socket | undefined;
  #closed = false;
  #wasOpen = false;
  #closedByPeer = false;
  #endedByPeer = false;
  #idleLimitMs: Millis = DEFAULT_IDLE_TIMEOUT_MS - IDLE_MARGIN_MS;
  /** Ids of the calls that were refused on this connection. */
  readonly #refusedCallIds = new Set<string>();
  /** Monotonic time at which the last request on the connection ended. */
  idleSinceMs: Millis = 0;
  /** Idle time before the current request; undefined for the first one. */
  idleBeforeUseMs: Millis | undefined;

  constructor(address: string, onClosed: (self: EndpointConnection) => void) {
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      connect: (_options, callback) => {
        const socket = openHttpSocket(address, CONNECT_TIMEOUT_MS);
        this.#socket = socket;
        socket.once("end", () => {
          this.#endedByPeer = true;
        });
        socket.once("close", () => {
          this.#closedByPeer = this.#wasOpen && !this.#closed;
          this.#closed = true;
          onClosed(this);
        });
        socket.once("connect", () => {
          this.#wasOpen = true;
          callback(null, socket);
        });
        socket.once("error", (error) => callback(error, null));
      },
    });
  }

  /** Whether the connection was closed by either side or has failed. */
  get closed(): boolean {
    return this.#closed || (this.#socket?.destroyed ?? false);
  }

  /** Whether the endpoint has ended the connection, and how. */
  get ending(): ConnectionEnding {
    if (this.#socket?.errored) {
      return "reset";
    }
    return this.#endedByPeer ? "closed" : "open";
  }

  /** Whether the connection was open and the endpoint closed or reset it. */
  get closedByPeer(): boolean {
    return this.#closedByPeer;
  }

  /** Whether another request may be sent after this idle time. */
  isReusable(nowMs: Millis, maxIdleMs: Millis): boolean {
    const limitMs = Math.min(maxIdleMs, this.#idleLimitMs);
    return !this.closed &&
      this.#refusedCallIds.size <= MAX_REFUSALS &&
      nowMs - this.idleSinceMs < limitMs;
  }

  /**
   * Records that the endpoint refused a call. If the same call were sent here
   * again, a late copy of the refusal could not be told from its answer.
   */
  recordRefusal(callId: string | undefined): void {
    if (callId !== undefined) {
      this.#refusedCallIds.add(callId);
    }
  }

  /** Whether the call was refused on this connection. */
  hasRefused(callId: string | undefined): boolean {
    return callId !== undefined && this.#refusedCallIds.has(callId);
  }

  /** Applies the idle timeout that the endpoint announced. */
  applyIdleTimeout(timeoutMs: Millis): void {
    this.#idleLimitMs = Math.max(0, timeoutMs - IDLE_MARGIN_MS);
  }

  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    this.#client.dispatch(options, handler);
  }

  destroy(): void {
    this.#closed = true;
    // Without an error, undici takes this for the end of an answer.
    this.#socket?.destroy(new Error("connection to the endpoint was closed"));
    void this.#client.destroy().catch(() => {
      // The client is already closed.
    });
  }
}
