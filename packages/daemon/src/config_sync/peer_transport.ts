import type { Message } from "@anvildeal/core";

/** Connections to other anvildeal processes, addressed by instance id. */
export interface PeerTransport {
  /**
   * Sends a message, over a new connection if there is none. Failures are not
   * reported; the protocols on top repeat requests whose message was lost.
   */
  send(peerId: string, message: Message): void;

  /**
   * Peers with which the versions of the configuration and of the instance list
   * are exchanged: for a router the other live routers, for a sidecar the
   * routers that are connected to it.
   */
  peers(): readonly string[];
}
