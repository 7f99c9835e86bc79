import type { Clock, Millis } from "@anvildeal/core";
import type { Disposable } from "../net/index.js";
import { EndpointConnection } from "./endpoint_connection.js";

/** A call that may run twice can meet a connection that just closed. */
const MAX_IDLE_REPEATABLE_MS: Millis = 30_000;

/** A call that may run once uses connections that are surely still open. */
const MAX_IDLE_ONCE_MS: Millis = 6000;

/** Idle times below this are not doubted. */
const MIN_IDLE_ONCE_MS: Millis = 200;

/** Part of an idle time that proved too long which is trusted from then on. */
const STALE_BACKOFF = 0.6;

/** Growth of the trusted idle time with each second, up to the maximum. */
const TRUST_GROWTH_MS: Millis = 100;

/** An endpoint's second answer to one request shows within this time. */
const SETTLE_MS: Millis = 30;

/** Open connections to endpoints, kept for further requests. */
export class EndpointConnections implements Disposable {
  readonly #clock: Clock;
  readonly #idle = new Map<string, EndpointConnection[]>();
  readonly #all = new Set<EndpointConnection>();
  #trustedIdleMs: Millis = MAX_IDLE_ONCE_MS;
  #trustedAtMs: Millis = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get openCount(): number {
    return this.#all.size;
  }

  /**
   * Takes a connection to the endpoint, or opens one.
   *
   * The one that has been idle longest goes first, which keeps more of them
   * open through the pauses between bursts. It must have been idle for a
   * moment, so that bytes that an endpoint sent after its last answer have had
   * time to show and to end it.
   */
  acquire(
    endpointId: string,
    address: string,
    repeatable: boolean,
  ): EndpointConnection {
    const key = poolKey(endpointId, address);
    const nowMs = this.#clock.nowMs();
    const maxIdleMs = repeatable
      ? MAX_IDLE_REPEATABLE_MS
      : this.#trustedIdle(nowMs);
    const idle = this.#idle.get(key) ?? [];
    const index = idle.findIndex((connection) =>
      connection.isReusable(nowMs, maxIdleMs) &&
      nowMs - connection.idleSinceMs >= SETTLE_MS
    );
    if (index >= 0) {
      const [connection] = idle.splice(index, 1);
      connection!.idleBeforeUseMs = nowMs - connection!.idleSinceMs;
      return connection!;
    }
    const opened = new EndpointConnection(address, (closed) => {
      this.#all.delete(closed);
      this.#dropIdle(key, closed);
    });
    this.#all.add(opened);
    return opened;
  }

  /** Gives a connection back after a whole answer. */
  release(
    endpointId: string,
    address: string,
    connection: EndpointConnection,
  ): void {
    if (connection.closed || connection.failed) {
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

  /** Notes that a connection was dead when it was used after this idle time. */
  noteStale(idleMs: Millis): void {
    const nowMs = this.#clock.nowMs();
    this.#trustedIdleMs = Math.max(
      MIN_IDLE_ONCE_MS,
      Math.min(this.#trustedIdle(nowMs), idleMs * STALE_BACKOFF),
    );
    this.#trustedAtMs = nowMs;
  }

  /** Closes connections that are idle beyond their limit. */
  closeExpired(): void {
    const nowMs = this.#clock.nowMs();
    for (const idle of this.#idle.values()) {
      for (const connection of [...idle]) {
        if (!connection.isReusable(nowMs, MAX_IDLE_REPEATABLE_MS)) {
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

  #trustedIdle(nowMs: Millis): Millis {
    const grownMs = (nowMs - this.#trustedAtMs) / 1000 * TRUST_GROWTH_MS;
    return Math.min(MAX_IDLE_ONCE_MS, this.#trustedIdleMs + grownMs);
  }

  #dropIdle(key: string, connection: EndpointConnection): void {
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
