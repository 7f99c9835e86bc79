import type { Message, MessageOf } from "@anvildeal/core";
import type { Disposable } from "./disposable.js";
import { Emitter } from "./emitter.js";
import { openConnection } from "./open_connection.js";
import {
  type CloseInfo,
  PeerConnection,
  type PeerConnectionOptions,
} from "./peer_connection.js";

/** A message of an authenticated peer. */
export interface PeerMessage {
  readonly peerId: string;
  readonly message: Message;
}

/** A peer whose handshake is complete. */
export interface PeerReady {
  readonly peerId: string;
  readonly hello: MessageOf<"hello">;
}

export interface PeerClosed extends CloseInfo {
  readonly peerId: string;
  /** Whether the handshake was complete before the connection was closed. */
  readonly wasReady: boolean;
}

/** Keeps one outbound connection per peer, opened by the first message. */
export class PeerDialer implements Disposable {
  readonly #options: () => PeerConnectionOptions;
  readonly #connections = new Map<string, PeerConnection>();
  readonly #onReady = new Emitter<PeerReady>();
  readonly #onMessage = new Emitter<PeerMessage>();
  readonly #onClose = new Emitter<PeerClosed>();

  /** Fires when the handshake with a peer is complete. */
  readonly onReady = this.#onReady.event;
  /** Fires for each message after the handshake. */
  readonly onMessage = this.#onMessage.event;
  /** Fires when a connection was closed or could not be opened. */
  readonly onClose = this.#onClose.event;

  constructor(options: () => PeerConnectionOptions) {
    this.#options = options;
  }

  /**
   * Sends a message over the connection to the peer; if there is none, opens
   * one to `address` first. If the connection fails during its handshake, the
   * messages that were queued until then are reported in `unsent` of `onClose`.
   */
  send(peerId: string, address: string, message: Message): void {
    const connection = this.#connections.get(peerId) ??
      this.#open(peerId, address);
    connection.send(message);
  }

  /** Closes the connection without firing `onClose`. */
  close(peerId: string): void {
    const connection = this.#connections.get(peerId);
    this.#connections.delete(peerId);
    connection?.dispose();
  }

  /** Ids of the peers whose handshake is complete. */
  connectedIds(): string[] {
    return [...this.#connections]
      .filter(([, connection]) => connection.ready)
      .map(([peerId]) => peerId);
  }

  dispose(): void {
    for (const peerId of [...this.#connections.keys()]) {
      this.close(peerId);
    }
    this.#onReady.dispose();
    this.#onMessage.dispose();
    this.#onClose.dispose();
  }

  #open(peerId: string, address: string): PeerConnection {
    const connection = new PeerConnection(
      openConnection(address),
      this.#options(),
    );
    this.#connections.set(peerId, connection);
    let wasReady = false;
    connection.onReady((hello) => {
      // The address may have been reassigned to another process.
      if (!isSeedPeer(peerId) && hello.nodeId !== peerId) {
        connection.close(`peer is ${hello.nodeId}, expected ${peerId}`);
        return;
      }
      wasReady = true;
      this.#onReady.fire({ peerId, hello });
    });
    connection.onMessage((message) => {
      if (this.#connections.get(peerId) === connection) {
        this.#onMessage.fire({ peerId, message });
      }
    });
    connection.onClose((info) => {
      if (this.#connections.get(peerId) === connection) {
        this.#connections.delete(peerId);
        this.#onClose.fire({ ...info, peerId, wasReady });
      }
    });
    return connection;
  }
}

const SEED_PREFIX = "seed:";

/** Temporary id of a peer whose address is known but whose node id is not. */
export function seedPeerId(address: string): string {
  return SEED_PREFIX + address;
}

/**
 * Address in an id that {@link seedPeerId} returned; undefined for other ids.
 */
export function seedAddress(peerId: string): string | undefined {
  return isSeedPeer(peerId) ? peerId.slice(SEED_PREFIX.length) : undefined;
}

function isSeedPeer(peerId: string): boolean {
  return peerId.startsWith(SEED_PREFIX);
}
