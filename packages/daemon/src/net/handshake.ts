import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { type MessageOf, PROTOCOL_VERSION } from "@anvildeal/core";

const NONCE_BYTES = 16;

/** Identity that a process presents to its peers. */
export interface PeerIdentity {
  readonly role: "router" | "sidecar";
  readonly nodeId: string;
  readonly incarnation: number;
  readonly failureDomain: string;
  /** Secret that all processes of the fleet share. */
  readonly fleetKey: string;
}

/** A peer failed to prove that it belongs to the fleet. */
export class HandshakeError extends Error {
  override readonly name = "HandshakeError";
}

/**
 * Mutual authentication of one connection. Each side sends a nonce, and then an
 * HMAC of its node id and both nonces that is computed with the fleet key. A
 * recorded exchange cannot be replayed, since the nonces differ.
 */
export class Handshake {
  readonly #identity: PeerIdentity;
  readonly #nonce = randomBytes(NONCE_BYTES);
  #peer: MessageOf<"hello"> | undefined;

  constructor(identity: PeerIdentity) {
    this.#identity = identity;
  }

  /** Returns the first message to send to the peer. */
  hello(configVersion: number): MessageOf<"hello"> {
    return {
      type: "hello",
      protocolVersion: PROTOCOL_VERSION,
      role: this.#identity.role,
      nodeId: this.#identity.nodeId,
      incarnation: this.#identity.incarnation,
      failureDomain: this.#identity.failureDomain,
      configVersion,
      nonce: new Uint8Array(this.#nonce),
    };
  }

  /**
   * Checks the hello of the peer and returns the proof to send.
   *
   * Throws {@link HandshakeError} when the protocol version differs or the
   * nonce is invalid.
   */
  acceptHello(hello: MessageOf<"hello">): MessageOf<"proof"> {
    if (hello.protocolVersion !== PROTOCOL_VERSION) {
      throw new HandshakeError(
        `Peer uses protocol version ${hello.protocolVersion}, expected ${PROTOCOL_VERSION}`,
      );
    }
    if (hello.nonce.length !== NONCE_BYTES) {
      throw new HandshakeError("Peer sent a nonce of the wrong length");
    }
    if (timingSafeEqual(hello.nonce, this.#nonce)) {
      throw new HandshakeError(
        "Peer sent back the nonce of this process instead of a new nonce",
      );
    }
    this.#peer = hello;
    return {
      type: "proof",
      proof: this.#computeProof(
        this.#identity.nodeId,
        this.#nonce,
        hello.nonce,
      ),
    };
  }

  /**
   * Checks the proof of the peer and returns its hello.
   *
   * Throws {@link HandshakeError} when the peer does not know the fleet key.
   */
  acceptProof(message: MessageOf<"proof">): MessageOf<"hello"> {
    const peer = this.#peer;
    if (!peer) {
      throw new HandshakeError("Peer sent its proof before its hello");
    }
    const expected = this.#computeProof(peer.nodeId, peer.nonce, this.#nonce);
    if (
      message.proof.length !== expected.length ||
      !timingSafeEqual(message.proof, expected)
    ) {
      throw new HandshakeError("Peer does not know the fleet key");
    }
    return peer;
  }

  #computeProof(
    nodeId: string,
    proverNonce: Uint8Array,
    verifierNonce: Uint8Array,
  ): Uint8Array {
    return new Uint8Array(
      createHmac("sha256", this.#identity.fleetKey)
        .update(nodeId)
        .update("\0")
        .update(proverNonce)
        .update(verifierNonce)
        .digest(),
    );
  }
}
