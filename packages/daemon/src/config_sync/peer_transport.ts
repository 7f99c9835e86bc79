import type { Message } from "@anvildeal/core";

/** Connections to other anvildeal processes, addressed by instance id. */
export interface PeerTransport {
  /**
   * Sends a message, over a new connection if there is none. Failures are not
   * reported here; a message that is lost is asked for again.
   */
  send(peerId: string, message: Message): void;

  /**
   * Peers that share the work of spreading versions: for a router the other
   * live routers, for a sidecar the routers that are connected to it.
   */
  peers(): readonly string[];
}
