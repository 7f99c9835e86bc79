import { connect } from "node:net";
import type { Message, MessageOf } from "@anvildeal/core";
import type { Disposable } from "./disposable.js";
import { Emitter } from "./emitter.js";
import {
  type CloseInfo,
  PeerConnection,
  type PeerConnectionOptions,
} from "./peer_connection.js";

export interface PeerMessage {
  readonly peerId: string;
  readonly message: Message;
}

export interface PeerReady {
  readonly peerId: string;
  readonly hello: MessageOf<"hello">;
}

export interface PeerClosed extends CloseInfo {
  readonly peerId: string;
  readonly wasReady: boolean;
}

/** Opens one connection to each peer that is sent something. */
export class PeerDialer implements Disposable {
  readonly #options: () => PeerConnectionOptions;
  readonly #connections = new Map<string, PeerConnection>();
  readonly #onReady = new Emitter<PeerReady>();
  readonly #onMessage = new Emitter<PeerMessage>();
  readonly #onClose = new Emitter<PeerClosed>();

  readonly onReady = this.#onReady.event;
  readonly onMessage = this.#onMessage.event;
  readonly onClose = this.#onClose.event;

  constructor(options: () => PeerConnectionOptions) {
    this.#options = options;
  }

  /** Sends over the open connection, or opens one to `address` first. */
  send(peerId: string, address: string, message: Message): void {
    const connection = this.#connections.get(peerId) ??
      this.#open(peerId, address);
    connection.send(message);
  }

  /** Closes without an event, since the caller knows already. */
  close(peerId: string): void {
    const connection = this.#connections.get(peerId);
    this.#connections.delete(peerId);
    connection?.dispose();
  }

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
    const { host, port } = splitAddress(address);
    const connection = new PeerConnection(
      connect({ host, port }),
      this.#options(),
    );
    this.#connections.set(peerId, connection);
    connection.onReady((hello) => {
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
        const wasReady = connection.peer !== undefined;
        this.#onClose.fire({ ...info, peerId, wasReady });
      }
    });
    return connection;
  }
}

/** Splits "1.2.3.4:5" or "[::1]:5" into host and port. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(colon + 1)),
  };
}
