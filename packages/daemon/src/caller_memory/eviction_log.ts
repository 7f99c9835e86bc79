import type { Socket } from "node:net";
import { type Clock, type Measurement, TokenBucket } from "@anvildeal/core";
import type { Logger } from "../logging/index.js";
import { callerAddressOf } from "./caller_address.js";

/** Log lines that a process writes on average. */
const LINES_PER_S = 1;

/** Log lines that a process writes in a burst. */
const MAX_BURST_LINES = 10;

/**
 * Which bound a caller exceeded: the memory for all callers, the requests on one
 * connection that are not answered yet, or the number of connections.
 */
export type EvictionReason = "memory" | "pipelining" | "connections";

/** An evicted request or connection, with the bound that was exceeded. */
export interface ReportedEviction {
  readonly reason: EvictionReason;
  /** Address of the caller, without the port. */
  readonly address: string;
  /** What the evicted request or connection held. */
  readonly heldBytes: number;
  /** What the process held for all callers. */
  readonly totalBytes: number;
}

/** Where evictions are logged and counted. */
export interface EvictionLogOptions {
  readonly logger: Logger;
  readonly clock: Clock;
  readonly observe: (measurement: Measurement) => void;
}

/** Counts evictions of callers, and logs a limited number of them. */
export class EvictionLog {
  readonly #options: EvictionLogOptions;
  readonly #bucket: TokenBucket;
  #notLogged = 0;

  constructor(options: EvictionLogOptions) {
    this.#options = options;
    this.#bucket = new TokenBucket(
      LINES_PER_S,
      MAX_BURST_LINES,
      options.clock.nowMs(),
    );
  }

  /**
   * Reports a connection of a server that holds nothing for its callers.
   *
   * @param totalBytes Bytes that the process held for all callers.
   */
  reportConnection(
    socket: Socket,
    reason: EvictionReason,
    totalBytes: number,
  ): void {
    const address = callerAddressOf(socket);
    this.report({ reason, address, heldBytes: 0, totalBytes });
  }

  /** Counts an eviction, and logs it unless there were too many. */
  report({ address, heldBytes, reason, totalBytes }: ReportedEviction): void {
    const { clock, logger, observe } = this.#options;
    observe({ metric: "callers_evicted_total", value: 1, labels: { reason } });
    if (!this.#bucket.tryConsume(1, clock.nowMs())) {
      this.#notLogged++;
      return;
    }
    logger.log("caller_evicted", {
      address,
      reason,
      held_bytes: heldBytes,
      total_bytes: totalBytes,
      not_logged: this.#notLogged,
    });
    this.#notLogged = 0;
  }
}
