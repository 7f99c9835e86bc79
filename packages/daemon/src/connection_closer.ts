import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Closes the connections of callers at a stop so that no request loses its answer.
 * The caller is told with an answer that the connection ends, and a request that
 * arrives after that is dropped: it could run, but not be answered.
 */
export class ConnectionCloser {
  /** Answer to the request that arrived last, by connection. */
  readonly #last = new WeakMap<Socket, ServerResponse>();
  /** Connections whose callers were told that no further request is answered. */
  readonly #closed = new WeakSet<Socket>();
  #stopping = false;

  /** Closes each connection after its next answer. */
  stop(): void {
    this.#stopping = true;
  }

  /**
   * Records a request whose head has arrived. Returns false if its connection
   * is being closed; the request must then not be passed on.
   */
  accept(request: IncomingMessage, response: ServerResponse): boolean {
    const { socket } = request;
    if (this.#closed.has(socket)) {
      request.resume();
      return false;
    }
    this.#last.set(socket, response);
    return true;
  }

  /**
   * Whether the answer whose head is written next must ask its caller to close the
   * connection. That is so during a stop, unless another request has arrived
   * on the connection, whose answer then closes it. Must be called only if the
   * head is written.
   */
  announce(response: ServerResponse): boolean {
    const { socket } = response.req;
    if (!this.#stopping || this.#last.get(socket) !== response) {
      return false;
    }
    this.close(response);
    return true;
  }

  /** Records that an answer is the last one on its connection. */
  close({ req }: ServerResponse): void {
    this.#closed.add(req.socket);
  }
}
