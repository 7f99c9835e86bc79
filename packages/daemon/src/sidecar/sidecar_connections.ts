import type {
  MembershipState,
  Message,
  MessageOf,
  PoolPeer,
} from "@anvildeal/core";
import type { PeerTransport } from "../config_sync/index.js";
import {
  type Disposable,
  Emitter,
  type PeerConnection,
  PeerDialer,
  PeerServer,
} from "../net/index.js";
import type { NodeServices } from "../node_services.js";

/** A message of an authenticated peer. */
export interface ConnectionMessage {
  readonly connectionId: string;
  readonly peerId: string;
  readonly message: Message;
}

/** A connection whose handshake is complete. */
export interface ConnectionReady {
  readonly connectionId: string;
  readonly hello: MessageOf<"hello">;
}

/** Prefix of the ids of connections that this sidecar opened. */
const OUTBOUND_PREFIX = "to:";

/**
 * Peer connections of a sidecar: those that routers and other sidecars open to
 * it, and those that it opens to other sidecars and routers. Each connection
 * has an id that this process does not use again for another peer.
 */
export class SidecarConnections implements PeerTransport, Disposable {
  readonly #services: NodeServices;
  readonly #membership: MembershipState;
  readonly #server: PeerServer;
  readonly #dialer: PeerDialer;
  readonly #inbound = new Map<string, PeerConnection>();
  readonly #onConnected = new Emitter<ConnectionReady>();
  readonly #onMessage = new Emitter<ConnectionMessage>();
  readonly #onClosed = new Emitter<string>();
  #nextConnectionNumber = 0;

  /** Fires when the handshake of a connection is complete. */
  readonly onConnected = this.#onConnected.event;
  /** Fires for each message after the handshake. */
  readonly onMessage = this.#onMessage.event;
  /** Fires with the id of a connection that was closed. */
  readonly onClosed = this.#onClosed.event;

  constructor(
    services: NodeServices,
    membership: MembershipState,
    configVersion: () => number,
  ) {
    this.#services = services;
    this.#membership = membership;
    const options = () => services.peerOptions(configVersion());
    this.#server = new PeerServer(options);
    this.#server.onConnection((connection) => this.#accept(connection));
    this.#dialer = new PeerDialer(options);
    this.#dialer.onReady(({ peerId, hello }) =>
      this.#onConnected.fire({ connectionId: OUTBOUND_PREFIX + peerId, hello })
    );
    this.#dialer.onMessage(({ peerId, message }) =>
      this.#onMessage.fire({
        connectionId: OUTBOUND_PREFIX + peerId,
        peerId,
        message,
      })
    );
    this.#dialer.onClose(({ peerId }) =>
      this.#onClosed.fire(OUTBOUND_PREFIX + peerId)
    );
  }

  listen(host: string, port: number): Promise<number> {
    return this.#server.listen(host, port);
  }

  /**
   * Sends a message over one connection. If the connection is closed, an
   * outbound one is opened again; for an inbound one the message is dropped.
   */
  sendTo(connectionId: string, message: Message): void {
    if (connectionId.startsWith(OUTBOUND_PREFIX)) {
      const peerId = connectionId.slice(OUTBOUND_PREFIX.length);
      const address = this.#addressOf(peerId);
      if (address !== undefined) {
        this.#dialer.send(peerId, address, message);
      }
      return;
    }
    this.#inbound.get(connectionId)?.send(message);
  }

  /**
   * Sends a message to another sidecar over an outbound connection, which is
   * kept open.
   */
  sendToPeer(peer: PoolPeer, message: Message): void {
    this.#dialer.send(peer.endpointId, peer.address, message);
  }

  /** Closes an inbound connection; has no effect on outbound ones. */
  close(connectionId: string): void {
    this.#inbound.get(connectionId)?.close("silent");
    this.#inbound.delete(connectionId);
  }

  /**
   * Sends a message to a peer over its latest inbound connection, since earlier
   * ones may have fallen silent, or over an outbound one if there is none.
   */
  send(peerId: string, message: Message): void {
    const inbound = [...this.#inbound.values()].findLast((connection) =>
      connection.peer?.nodeId === peerId && connection.ready
    );
    if (inbound) {
      inbound.send(message);
      return;
    }
    const address = this.#addressOf(peerId);
    if (address !== undefined) {
      this.#dialer.send(peerId, address, message);
    }
  }

  /**
   * Routers that are connected to this sidecar; configuration versions are
   * exchanged with them.
   */
  peers(): readonly string[] {
    return [...this.#inbound.values()]
      .filter((connection) =>
        connection.ready && connection.peer?.role === "router"
      )
      .map((connection) => connection.peer?.nodeId ?? "");
  }

  dispose(): void {
    this.#server.dispose();
    this.#dialer.dispose();
    this.#onConnected.dispose();
    this.#onMessage.dispose();
    this.#onClosed.dispose();
  }

  #accept(connection: PeerConnection): void {
    const connectionId = `c${this.#nextConnectionNumber++}`;
    connection.onReady((hello) => {
      this.#inbound.set(connectionId, connection);
      this.#onConnected.fire({ connectionId, hello });
      connection.onMessage((message) =>
        this.#onMessage.fire({ connectionId, peerId: hello.nodeId, message })
      );
    });
    connection.onClose(({ reason }) => {
      this.#inbound.delete(connectionId);
      this.#services.logger.log("peer_closed", {
        peer: connection.peer?.nodeId,
        reason,
      });
      this.#onClosed.fire(connectionId);
    });
  }

  #addressOf(peerId: string): string | undefined {
    return this.#membership.instances.get(peerId)?.row.address;
  }
}
