import { createServer, type Server } from "node:net";
import type { Disposable } from "./disposable.js";
import { Emitter } from "./emitter.js";
import {
  PeerConnection,
  type PeerConnectionOptions,
} from "./peer_connection.js";
import { listen } from "../listen.js";

/** Accepts connections from other anvildeal processes. */
export class PeerServer implements Disposable {
  readonly #server: Server;
  readonly #connections = new Set<PeerConnection>();
  readonly #onConnection = new Emitter<PeerConnection>();

  /** Fires for each connection before its handshake. */
  readonly onConnection = this.#onConnection.event;

  constructor(options: () => PeerConnectionOptions) {
    this.#server = createServer((socket) => {
      const connection = new PeerConnection(socket, options());
      this.#connections.add(connection);
      connection.onClose(() => this.#connections.delete(connection));
      this.#onConnection.fire(connection);
    });
  }

  /** Resolves to the port in use; 0 lets the system choose one. */
  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  dispose(): void {
    this.#server.close();
    for (const connection of this.#connections) {
      connection.dispose();
    }
    this.#onConnection.dispose();
  }
}
