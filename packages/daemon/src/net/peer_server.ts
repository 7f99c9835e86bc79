import { createServer, type Server } from "node:net";
import type { Disposable } from "./disposable.js";
import { Emitter } from "./emitter.js";
import {
  PeerConnection,
  type PeerConnectionOptions,
} from "./peer_connection.js";
import { listen } from "../listen.js";

/**
 * Maximum number of connections whose peers have not proved yet that they belong to the
 * fleet. A handshake takes some ms, and the largest fleets have 3,300 processes.
 */
const MAX_HANDSHAKES = 1024;

/** Accepts connections from other anvildeal processes. */
export class PeerServer implements Disposable {
  readonly #server: Server;
  readonly #connections = new Set<PeerConnection>();
  readonly #maxHandshakes: number;
  /** Connections whose handshake is not complete, from the oldest to the newest. */
  readonly #handshakes = new Set<PeerConnection>();
  readonly #onConnection = new Emitter<PeerConnection>();

  /** Fires for each connection before its handshake. */
  readonly onConnection = this.#onConnection.event;

  constructor(
    options: () => PeerConnectionOptions,
    maxHandshakes = MAX_HANDSHAKES,
  ) {
    this.#maxHandshakes = maxHandshakes;
    this.#server = createServer((socket) => {
      const connection = new PeerConnection(socket, options());
      this.#connections.add(connection);
      this.#addHandshake(connection);
      connection.onClose(() => {
        this.#connections.delete(connection);
        this.#handshakes.delete(connection);
      });
      this.#onConnection.fire(connection);
    });
  }

  /** Resolves to the port in use; 0 lets the system choose one. */
  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  /** Closes the oldest handshake for a new one if there are too many. */
  #addHandshake(connection: PeerConnection): void {
    this.#handshakes.add(connection);
    connection.onReady(() => this.#handshakes.delete(connection));
    if (this.#handshakes.size > this.#maxHandshakes) {
      const [oldest] = this.#handshakes;
      oldest!.close("too many connections without a handshake");
    }
  }

  dispose(): void {
    this.#server.close();
    for (const connection of this.#connections) {
      connection.dispose();
    }
    this.#onConnection.dispose();
  }
}
