import { IncomingMessage, type ServerOptions, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** The object that stands for all further requests on a closed connection. */
const discardedRequests = new WeakMap<Socket, IncomingMessage>();
/** The response to each of these objects. */
const discardedResponses = new WeakMap<IncomingMessage, ServerResponse>();

/**
 * A request. The parser creates one for each request of a read of 64 KB, also after
 * the connection was closed in the middle; all of these are one object, since
 * thousands of them would be kept until the connection is released.
 */
class BoundedIncomingMessage extends IncomingMessage {
  constructor(socket: Socket) {
    const discarded = discardedRequests.get(socket);
    if (discarded) {
      return discarded;
    }
    super(socket);
    if (socket.destroyed) {
      this.push = () => false;
      this.on("error", () => {});
      discardedRequests.set(socket, this);
    }
  }
}

/** The response to a {@link BoundedIncomingMessage}. */
class BoundedServerResponse extends ServerResponse {
  constructor(...args: ConstructorParameters<typeof ServerResponse>) {
    const [request] = args;
    const discarded = discardedResponses.get(request);
    if (discarded) {
      return discarded;
    }
    super(...args);
    if (discardedRequests.get(request.socket) === request) {
      this.on = () => this;
      discardedResponses.set(request, this);
    }
  }
}

/** Options of HTTP servers that close connections with too many requests. */
export const BOUNDED_MESSAGES = {
  IncomingMessage: BoundedIncomingMessage,
  ServerResponse: BoundedServerResponse,
} as unknown as ServerOptions;
