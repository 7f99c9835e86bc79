import type { Clock, Millis } from "@anvildeal/core";
import type { Disposable } from "../net/index.js";
import { EndpointConnection } from "./endpoint_connection.js";

/** A call that may run twice may also meet a connection that just closed. */
const MAX_IDLE_REPEATABLE_MS: Millis = 30_000;

/** A call that may run once only uses connections that worked just now. */
const MAX_IDLE_ONCE_MS: Millis = 2500;

/** Open connections to endpoints, kept for further requests. */
export class EndpointConnections implements Disposable {
  readonly #clock: Clock;
  readonly #idle = new Map<string, EndpointConnection[]>();
  readonly #all = new Set<EndpointConnection>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get openCount(): number {
    return this.#all.size;
  }

  /**
   * Takes a connection to the endpoint, or opens one.
   *
   * The connection that has been idle longest goes first: bytes that an
   * endpoint sent after its last answer have had time to show and to end it.
   */
  acquire(
    endpointId: string,
    address: string,
    repeatable: boolean,
  ): EndpointConnection {
    const key = poolKey(endpointId, address);
    const nowMs = this.#clock.nowMs();
    const maxIdleMs = repeatable ? MAX_IDLE_REPEATABLE_MS : MAX_IDLE_ONCE_MS;
    const idle = this.#idle.get(key) ?? [];
    for (const [index, connection] of idle.entries()) {
      if (connection.isReusable(nowMs, maxIdleMs)) {
        idle.splice(index, 1);
        return connection;
      }
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
