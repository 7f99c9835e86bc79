import type { Message } from "@anvildeal/core";
import type { Disposable } from "./disposable.js";
import { Emitter } from "./emitter.js";
import type { PeerConnection } from "./peer_connection.js";
import type { PeerMessage } from "./peer_dialer.js";

/** Connections that peers opened to this process, by the peer's node id. */
export class InboundConnections implements Disposable {
  readonly #connections = new Map<string, PeerConnection>();
  readonly #onMessage = new Emitter<PeerMessage>();

  /** Fires for each message after the handshake. */
  readonly onMessage = this.#onMessage.event;

  /**
   * Registers a connection when its handshake completes, and removes the
   * connection when it closes. A later connection of the same peer replaces the
   * earlier one.
   */
  add(connection: PeerConnection): void {
    connection.onReady(({ nodeId }) => {
      this.#connections.set(nodeId, connection);
      connection.onMessage((message) =>
        this.#onMessage.fire({ peerId: nodeId, message })
      );
      connection.onClose(() => {
        if (this.#connections.get(nodeId) === connection) {
          this.#connections.delete(nodeId);
        }
      });
    });
  }

  /** Sends a message if the peer is connected; returns whether it was sent. */
  send(peerId: string, message: Message): boolean {
    const connection = this.#connections.get(peerId);
    if (!connection?.ready) {
      return false;
    }
    connection.send(message);
    return true;
  }

  /** Node ids of the connected peers. */
  connectedIds(): string[] {
    return [...this.#connections.keys()];
  }

  dispose(): void {
    this.#connections.clear();
    this.#onMessage.dispose();
  }
}
