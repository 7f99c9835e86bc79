import type { Socket } from "node:net";
import {
  encodeFrame,
  FrameDecoder,
  type Message,
  type MessageOf,
  type Millis,
  WireError,
} from "@anvildeal/core";
import type { Disposable } from "./disposable.js";
import { Emitter } from "./emitter.js";
import { Handshake, HandshakeError, type PeerIdentity } from "./handshake.js";
import type { TrafficMeter } from "./traffic_meter.js";

/** A connection whose handshake takes longer than this is closed. */
const HANDSHAKE_TIMEOUT_MS: Millis = 2000;

/**
 * Maximum number of bytes that are accepted before the handshake is complete,
 * since the peer is not trusted yet. A hello and a proof fit into this limit.
 */
const MAX_UNAUTHENTICATED_BYTES = 4096;

export interface PeerConnectionOptions {
  readonly identity: PeerIdentity;
  readonly configVersion: number;
  readonly meter: TrafficMeter;
  /**
   * Called before the connection is closed because the peer sent an invalid
   * frame or failed the handshake. `peerId` is undefined before the handshake.
   */
  readonly onRejected?: (
    peerId: string | undefined,
    reason: string,
  ) => void;
}

export interface CloseInfo {
  readonly reason: string;
  /** Messages that were queued during the handshake and were not sent. */
  readonly unsent: readonly Message[];
}

/** One authenticated connection between two anvildeal processes. */
export class PeerConnection implements Disposable {
  readonly #socket: Socket;
  readonly #options: PeerConnectionOptions;
  readonly #handshake: Handshake;
  readonly #decoder = new FrameDecoder();
  readonly #onReady = new Emitter<MessageOf<"hello">>();
  readonly #onMessage = new Emitter<Message>();
  readonly #onClose = new Emitter<CloseInfo>();
  readonly #handshakeTimer: NodeJS.Timeout;
  #unsent: Message[] = [];
  #peer: MessageOf<"hello"> | undefined;
  #receivedBytes = 0;
  #closed = false;

  /** Fires once, when the handshake is complete. */
  readonly onReady = this.#onReady.event;
  /** Fires for each message after the handshake. */
  readonly onMessage = this.#onMessage.event;
  /** Fires once, when the connection is closed; no other event follows. */
  readonly onClose = this.#onClose.event;

  constructor(socket: Socket, options: PeerConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#handshake = new Handshake(options.identity);
    this.#handshakeTimer = setTimeout(
      () => this.close("handshake timed out"),
      HANDSHAKE_TIMEOUT_MS,
    );
    options.meter.addSocket(socket);
    socket.setNoDelay(true);
    socket.on("data", (data) => this.#receive(data));
    socket.on("error", (error) => this.close(error.message));
    socket.on("close", () => this.close("closed by peer"));
    if (socket.connecting) {
      socket.once("connect", () => this.#sendHello());
    } else {
      this.#sendHello();
    }
  }

  /** Hello of the peer; undefined before the handshake is complete. */
  get peer(): MessageOf<"hello"> | undefined {
    return this.#peer;
  }

  /**
   * Whether the handshake is complete and the connection is open, so that
   * `send` neither queues nor drops messages.
   */
  get ready(): boolean {
    return this.#peer !== undefined && !this.#closed;
  }

  /**
   * Sends a message, or queues it until the handshake is complete. Has no
   * effect on a closed connection.
   */
  send(message: Message): void {
    if (this.#closed) {
      return;
    }
    if (this.#peer === undefined) {
      this.#unsent.push(message);
      return;
    }
    this.#write(message);
  }

  /** Closes the connection and fires `onClose` with the reason, once. */
  close(reason: string): void {
    if (this.#closed) {
      return;
    }
    this.#closed = true;
    clearTimeout(this.#handshakeTimer);
    this.#options.meter.removeSocket(this.#socket);
    this.#socket.destroy();
    const unsent = this.#unsent;
    this.#unsent = [];
    this.#onClose.fire({ reason, unsent });
    this.dispose();
  }

  dispose(): void {
    this.close("disposed");
    this.#onReady.dispose();
    this.#onMessage.dispose();
    this.#onClose.dispose();
  }

  #sendHello(): void {
    this.#write(this.#handshake.hello(this.#options.configVersion));
  }

  #write(message: Message): void {
    const frame = encodeFrame(message);
    this.#options.meter.addMessage("sent", message, frame.length);
    this.#socket.write(frame);
  }

  #receive(data: Uint8Array): void {
    this.#receivedBytes += data.length;
    if (!this.#peer && this.#receivedBytes > MAX_UNAUTHENTICATED_BYTES) {
      this.close("peer sent too many bytes before the handshake was complete");
      return;
    }
    try {
      for (const { message, frameBytes } of this.#decoder.push(data)) {
        this.#options.meter.addMessage("received", message, frameBytes);
        this.#handleMessage(message);
        if (this.#closed) {
          return;
        }
      }
    } catch (error) {
      if (error instanceof WireError || error instanceof HandshakeError) {
        this.#options.onRejected?.(this.#peer?.nodeId, error.message);
        this.close(error.message);
        return;
      }
      throw error;
    }
  }

  #handleMessage(message: Message): void {
    if (this.#peer) {
      this.#onMessage.fire(message);
      return;
    }
    if (message.type === "hello") {
      this.#write(this.#handshake.acceptHello(message));
      return;
    }
    if (message.type !== "proof") {
      throw new HandshakeError(
        `Peer sent ${message.type} during the handshake, expected hello or proof`,
      );
    }
    this.#peer = this.#handshake.acceptProof(message);
    clearTimeout(this.#handshakeTimer);
    this.#onReady.fire(this.#peer);
    const queued = this.#unsent;
    this.#unsent = [];
    for (const item of queued) {
      this.#write(item);
    }
  }
}
