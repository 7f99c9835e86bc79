import type { Server, Socket } from "node:net";
import { nextPoll } from "./next_poll.js";

/**
 * More connections than the system holds that a process has not accepted: Node.js
 * asks for a queue of 511.
 */
const MAX_QUEUED_CONNECTIONS = 512;

/** Counts the connections of a server. */
export class ConnectionCounter {
  #openCount = 0;
  #acceptedCount = 0;

  constructor(server: Server) {
    server.on("connection", (socket: Socket) => {
      this.#acceptedCount++;
      this.#openCount++;
      socket.once("close", () => this.#openCount--);
    });
  }

  /** Number of open connections. */
  get openCount(): number {
    return this.#openCount;
  }

  /**
   * Resolves when no accepted connection has come for a turn of the event loop, in
   * which one is accepted at least, or when all that waited at the call are
   * accepted. The system resets those that wait when a server stops to listen,
   * although their callers may have sent requests.
   */
  async untilAccepted(): Promise<void> {
    for (let turn = 0; turn < MAX_QUEUED_CONNECTIONS; turn++) {
      const acceptedCount = this.#acceptedCount;
      await nextPoll();
      if (this.#acceptedCount === acceptedCount) {
        return;
      }
    }
  }
}
