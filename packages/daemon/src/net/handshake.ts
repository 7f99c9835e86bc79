import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { type MessageOf, PROTOCOL_VERSION } from "@anvildeal/core";

const NONCE_BYTES = 16;

/** Who this process is towards its peers. */
export interface PeerIdentity {
  readonly role: "router" | "sidecar";
  readonly nodeId: string;
  readonly incarnation: number;
  readonly failureDomain: string;
  readonly fleetKey: string;
}

/** The peer did not prove that it belongs to the fleet. */
export class HandshakeError extends Error {
  override readonly name = "HandshakeError";
}

/**
 * Mutual authentication of one connection: each side proves knowledge of the
 * fleet key over both nonces, so that a recorded exchange cannot be replayed.
 */
export class Handshake {
  readonly #identity: PeerIdentity;
  readonly #nonce = randomBytes(NONCE_BYTES);
  #peer: MessageOf<"hello"> | undefined;

  constructor(identity: PeerIdentity) {
    this.#identity = identity;
  }

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

  /** Accepts the peer's hello; throws {@link HandshakeError}. */
  acceptHello(hello: MessageOf<"hello">): MessageOf<"proof"> {
    if (hello.protocolVersion !== PROTOCOL_VERSION) {
      throw new HandshakeError(
        `Peer speaks protocol version ${hello.protocolVersion}, expected ${PROTOCOL_VERSION}`,
      );
    }
    if (hello.nonce.length !== NONCE_BYTES) {
      throw new HandshakeError("Peer sent a nonce of the wrong length");
    }
    if (timingSafeEqual(hello.nonce, this.#nonce)) {
      throw new HandshakeError("Peer reflected the nonce");
    }
    this.#peer = hello;
    return {
      type: "proof",
      proof: this.#prove(this.#identity.nodeId, this.#nonce, hello.nonce),
    };
  }

  /** Checks the peer's proof; throws {@link HandshakeError}. */
  acceptProof(message: MessageOf<"proof">): MessageOf<"hello"> {
    const peer = this.#peer;
    if (!peer) {
      throw new HandshakeError("Peer sent its proof before its hello");
    }
    const expected = this.#prove(peer.nodeId, peer.nonce, this.#nonce);
    if (
      message.proof.length !== expected.length ||
      !timingSafeEqual(message.proof, expected)
    ) {
      throw new HandshakeError("Peer does not know the fleet key");
    }
    return peer;
  }

  #prove(
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
