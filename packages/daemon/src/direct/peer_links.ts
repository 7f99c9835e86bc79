import type { Message, Millis } from "@anvildeal/core";

/**
 * Of two connections to a router, the one that the lower id opened is used
 * unless it has been silent for this much longer than the other. Two routers
 * that dialled each other so choose the same connection, and neither goes on
 * sending on a connection that fell silent.
 */
const PREFERENCE_MS: Millis = 1000;

/** A connection to another router whose handshake is complete. */
export interface PeerLink {
  readonly nodeId: string;
  /** Whether the router with the lower id of the two opened the connection. */
  readonly openedByLowerId: boolean;
  /** When the last message arrived on this connection. */
  lastMessageMs: Millis;
  readonly send: (message: Message) => void;
  readonly close: (reason: string) => void;
}

/** Established connections to other routers, by the node id of the router. */
export class PeerLinks {
  readonly #byNodeId = new Map<string, Set<PeerLink>>();

  add(link: PeerLink): void {
    const links = this.#byNodeId.get(link.nodeId);
    if (links) {
      links.add(link);
    } else {
      this.#byNodeId.set(link.nodeId, new Set([link]));
    }
  }

  remove(link: PeerLink): void {
    const links = this.#byNodeId.get(link.nodeId);
    links?.delete(link);
    if (links?.size === 0) {
      this.#byNodeId.delete(link.nodeId);
    }
  }

  /** Connection on which to send to a router; undefined if there is none. */
  select(nodeId: string): PeerLink | undefined {
    let selected: PeerLink | undefined;
    for (const link of this.#byNodeId.get(nodeId) ?? []) {
      if (!selected || scoreOf(link) > scoreOf(selected)) {
        selected = link;
      }
    }
    return selected;
  }

  /** Connections on which the last message arrived before a time. */
  silentSince(timeMs: Millis): PeerLink[] {
    return [...this.#byNodeId.values()]
      .flatMap((links) => [...links])
      .filter(({ lastMessageMs }) => lastMessageMs < timeMs);
  }
}

function scoreOf({ lastMessageMs, openedByLowerId }: PeerLink): number {
  return lastMessageMs + (openedByLowerId ? PREFERENCE_MS : 0);
}
