import type { Socket } from "node:net";
import { Delivery } from "./delivery.js";
import { ProxiedDirection } from "./proxied_direction.js";

export type StallDirection = "to_target" | "to_client" | "both";

/** Fault that resets a connection after `afterBytes` bytes in one direction. */
export interface ProxyCut {
  readonly afterBytes: number;
  readonly direction: "to_target" | "to_client";
}

export interface ProxiedConnectionHooks {
  /** Returns the delay in milliseconds for data that is read now. */
  readonly delayMs: () => number;
  readonly onBytes: (
    direction: "to_target" | "to_client",
    bytes: number,
  ) => void;
  readonly onClosed: (connection: ProxiedConnection) => void;
}

/**
 * A client's connection to the proxy, paired with the proxy's connection to the
 * target.
 */
export class ProxiedConnection {
  readonly #client: Socket;
  readonly #target: Socket;
  readonly #toTarget: ProxiedDirection;
  readonly #toClient: ProxiedDirection;
  #bytesToClient = 0;
  #deliveries: Delivery[] = [];

  constructor(
    client: Socket,
    target: Socket,
    cut: ProxyCut | undefined,
    hooks: ProxiedConnectionHooks,
  ) {
    this.#client = client;
    this.#target = target;
    const createDirection = (name: "to_target" | "to_client") => {
      const [from, to] = name === "to_target"
        ? [client, target]
        : [target, client];
      const maxBytes = cut?.direction === name ? cut.afterBytes : Infinity;
      return new ProxiedDirection(from, to, maxBytes, {
        delayMs: hooks.delayMs,
        onBytes: (bytes) => hooks.onBytes(name, bytes),
        onPassedOn: (bytes) => {
          if (name === "to_client") {
            this.#recordPassedOn(bytes);
          }
        },
        onReset: () => this.#recordBreak(),
        onCut: () => this.reset(),
      });
    };
    this.#toTarget = createDirection("to_target");
    this.#toClient = createDirection("to_client");
    for (const socket of [client, target]) {
      socket.setNoDelay(true);
      socket.once("close", () => {
        if (client.closed && target.closed) {
          hooks.onClosed(this);
        }
      });
    }
  }

  /** Port from which the target sees the connection. */
  get targetPort(): number | undefined {
    return this.#target.localPort;
  }

  /** Follows the first bytes that the target sends, up to this number. */
  follow(bytes: number): Delivery {
    const delivery = new Delivery(bytes);
    this.#deliveries.push(delivery);
    return delivery;
  }

  #recordPassedOn(bytes: number): void {
    this.#bytesToClient += bytes;
    const nowMs = performance.now();
    this.#deliveries = this.#deliveries.filter((each) => !each.isOver(nowMs));
    for (const delivery of this.#deliveries) {
      if (delivery.bytes <= this.#bytesToClient) {
        delivery.recordPassedOn(nowMs);
      }
    }
  }

  #recordBreak(): void {
    const nowMs = performance.now();
    this.#deliveries.forEach((each) => each.recordBreak(nowMs));
  }

  /** Resets both connections at once; delayed data is dropped. */
  reset(): void {
    this.#recordBreak();
    this.#toTarget.dispose();
    this.#toClient.dispose();
    this.#client.resetAndDestroy();
    this.#target.resetAndDestroy();
  }

  /** Stalls one or both directions permanently. */
  stall(direction: StallDirection): void {
    if (direction !== "to_client") {
      this.#toTarget.stall();
    }
    if (direction !== "to_target") {
      this.#toClient.stall();
    }
  }
}
