import type { Socket } from "node:net";
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

  /** Resets both connections at once; delayed data is dropped. */
  reset(): void {
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
