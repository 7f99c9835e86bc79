import type { Clock, Millis, StartAttempt } from "@anvildeal/core";
import type { Disposable } from "../net/index.js";
import { EndpointConnection } from "./endpoint_connection.js";

/**
 * Longest idle time after which a connection is reused for a request that may
 * run more than once. If the endpoint has closed the connection meanwhile, the
 * request can be sent again.
 */
const MAX_IDLE_LIMIT_RETRYABLE_MS: Millis = 30_000;

/**
 * Longest idle time after which a connection is reused for a request that must
 * not run more than once. The limit is lower because such a request cannot be
 * sent again if the endpoint has closed the connection meanwhile.
 */
const MAX_IDLE_LIMIT_NOT_RETRYABLE_MS: Millis = 6000;

/**
 * Lower bound of the adaptive idle limit: connections that were idle for less
 * are always considered open.
 */
const MIN_IDLE_LIMIT_NOT_RETRYABLE_MS: Millis = 200;

/**
 * When a reused connection turns out to have been closed by the endpoint, the
 * idle limit is lowered to this fraction of the time for which that connection
 * was idle.
 */
const STALE_IDLE_FACTOR = 0.6;

/** Growth of a lowered idle limit, up to the maximum. */
const IDLE_LIMIT_GROWTH_MS_PER_S: Millis = 100;

/**
 * A connection must be idle for this long before it is reused, so that bytes
 * which an endpoint sends beyond the end of its answer are noticed first.
 */
const MIN_IDLE_BEFORE_REUSE_MS: Millis = 30;

/** The last open connection to an endpoint was closed. */
export interface EndpointDisconnection
  extends Pick<StartAttempt, "endpointId" | "incarnation"> {
  /** A process that ends closes its connections. */
  readonly isClosedByEndpoint: boolean;
}

/**
 * Pool of connections to endpoints. For requests that must not run more than
 * once, connections are reused only up to an idle limit that adapts: it drops
 * when a reused connection turns out to be stale, and grows again with time.
 */
export class EndpointConnectionPool implements Disposable {
  readonly #clock: Clock;
  readonly #onDisconnected: (event: EndpointDisconnection) => void;
  /** Number of open connections by endpoint, in use or idle. */
  readonly #openCounts = new Map<string, number>();
  readonly #idle = new Map<string, EndpointConnection[]>();
  readonly #all = new Set<EndpointConnection>();
  #idleLimitMs: Millis = MAX_IDLE_LIMIT_NOT_RETRYABLE_MS;
  /** Monotonic time at which the idle limit was last lowered. */
  #idleLimitSetMs: Millis = 0;

  /** @param onDisconnected Called when no connection to an endpoint is left. */
  constructor(
    clock: Clock,
    onDisconnected: (event: EndpointDisconnection) => void,
  ) {
    this.#clock = clock;
    this.#onDisconnected = onDisconnected;
  }

  /** Number of open connections, in use or idle. */
  get openCount(): number {
    return this.#all.size;
  }

  /**
   * Returns an idle connection to the endpoint, or opens one.
   *
   * The connection that has been idle longest is used first, which keeps more
   * of them open between bursts. It must have been idle for at least
   * {@link MIN_IDLE_BEFORE_REUSE_MS}: if the endpoint sent bytes beyond the end
   * of its last answer, they have arrived by then and the router has closed the
   * connection. A call that was refused on a connection is not sent there again.
   */
  acquire(
    { address, callId, endpointId, incarnation, retryable }: StartAttempt,
  ): EndpointConnection {
    const key = poolKey(endpointId, address);
    const nowMs = this.#clock.nowMs();
    const maxIdleMs = retryable
      ? MAX_IDLE_LIMIT_RETRYABLE_MS
      : this.#currentIdleLimit(nowMs);
    const idle = this.#idle.get(key) ?? [];
    const index = idle.findIndex((connection) =>
      connection.isReusable(nowMs, maxIdleMs) &&
      !connection.hasRefused(callId) &&
      nowMs - connection.idleSinceMs >= MIN_IDLE_BEFORE_REUSE_MS
    );
    if (index >= 0) {
      const [connection] = idle.splice(index, 1);
      connection!.idleBeforeUseMs = nowMs - connection!.idleSinceMs;
      return connection!;
    }
    const opened = new EndpointConnection(address, (closed) => {
      this.#all.delete(closed);
      this.#removeIdle(key, closed);
      const openCount = this.#openCounts.get(key)! - 1;
      this.#openCounts.set(key, openCount);
      if (openCount === 0) {
        this.#openCounts.delete(key);
        this.#onDisconnected({
          endpointId,
          incarnation,
          isClosedByEndpoint: closed.closedByPeer,
        });
      }
    });
    this.#openCounts.set(key, (this.#openCounts.get(key) ?? 0) + 1);
    this.#all.add(opened);
    return opened;
  }

  /** Returns a connection to the pool after a complete answer. */
  release(
    endpointId: string,
    address: string,
    connection: EndpointConnection,
  ): void {
    if (connection.closed) {
      return;
    }
    connection.idleSinceMs = this.#clock.nowMs();
    const key = poolKey(endpointId, address);
    const idle = this.#idle.get(key);
    if (idle) {
      idle.push(connection);
    } else {
      this.#idle.set(key, [connection]);
    }
  }

  /** Lowers the idle limit: a connection was stale after this idle time. */
  recordStale(idleMs: Millis): void {
    const nowMs = this.#clock.nowMs();
    this.#idleLimitMs = Math.max(
      MIN_IDLE_LIMIT_NOT_RETRYABLE_MS,
      Math.min(this.#currentIdleLimit(nowMs), idleMs * STALE_IDLE_FACTOR),
    );
    this.#idleLimitSetMs = nowMs;
  }

  /** Closes idle connections to an endpoint that were unused for this long. */
  closeUnused(endpointId: string, unusedMs: Millis): void {
    const limitMs = this.#clock.nowMs() - unusedMs;
    for (const [key, idle] of this.#idle) {
      if (key.startsWith(poolKey(endpointId, ""))) {
        idle.filter(({ idleSinceMs }) => idleSinceMs <= limitMs)
          .forEach((connection) => connection.destroy());
      }
    }
  }

  /** Closes connections that exceed their idle limit. Call periodically. */
  closeExpired(): void {
    const nowMs = this.#clock.nowMs();
    for (const idle of this.#idle.values()) {
      for (const connection of [...idle]) {
        if (!connection.isReusable(nowMs, MAX_IDLE_LIMIT_RETRYABLE_MS)) {
          connection.destroy();
        }
      }
    }
  }

  dispose(): void {
    for (const connection of this.#all) {
      connection.destroy();
    }
    this.#all.clear();
    this.#idle.clear();
  }

  #currentIdleLimit(nowMs: Millis): Millis {
    const grownMs = (nowMs - this.#idleLimitSetMs) / 1000 *
      IDLE_LIMIT_GROWTH_MS_PER_S;
    return Math.min(
      MAX_IDLE_LIMIT_NOT_RETRYABLE_MS,
      this.#idleLimitMs + grownMs,
    );
  }

  #removeIdle(key: string, connection: EndpointConnection): void {
    const idle = this.#idle.get(key);
    if (!idle) {
      return;
    }
    const index = idle.indexOf(connection);
    if (index >= 0) {
      idle.splice(index, 1);
    }
    if (idle.length === 0) {
      this.#idle.delete(key);
    }
  }
}

function poolKey(endpointId: string, address: string): string {
  return `${endpointId}@${address}`;
}
