import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { EvictionReason } from "./eviction_log.js";

/** Bounds on the connections of a server and on the requests of each. */
export interface ServerBounds {
  readonly maxConnections: number;
  /** Maximum number of requests on a connection that are not answered yet. */
  readonly maxPipelinedRequests: number;
}

/** Bounds for servers that only answer short requests of the platform's own tools. */
export const SMALL_SERVER_BOUNDS: ServerBounds = {
  maxConnections: 32,
  maxPipelinedRequests: 16,
};

/**
 * Bounds the connections of a server and the requests that wait on them. The oldest
 * connection is closed for a new one, since a caller of such a server needs
 * its connection for a moment only.
 *
 * @param onClose Called for each connection that is closed because of a bound.
 */
export function boundServer(
  server: Server,
  { maxConnections, maxPipelinedRequests }: ServerBounds,
  onClose: (socket: Socket, reason: EvictionReason) => void = () => {},
): void {
  const openRequests = new Map<Socket, number>();
  const close = (socket: Socket, reason: EvictionReason) => {
    onClose(socket, reason);
    socket.destroy();
  };
  server.on("connection", (socket: Socket) => {
    openRequests.set(socket, 0);
    socket.once("close", () => openRequests.delete(socket));
    if (openRequests.size > maxConnections) {
      const [oldest] = openRequests.keys();
      openRequests.delete(oldest!);
      close(oldest!, "connections");
    }
  });
  server.prependListener(
    "request",
    ({ socket }: IncomingMessage, response: ServerResponse) => {
      const count = (openRequests.get(socket) ?? 0) + 1;
      if (socket.destroyed) {
        return;
      }
      openRequests.set(socket, count);
      response.once("close", () => {
        const remaining = openRequests.get(socket);
        if (remaining !== undefined) {
          openRequests.set(socket, remaining - 1);
        }
      });
      if (count > maxPipelinedRequests) {
        close(socket, "pipelining");
      }
    },
  );
}
