import type { Server, Socket } from "node:net";
import type { Millis } from "@anvildeal/core";
import { nextPoll } from "./next_poll.js";

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
   * Resolves when no connection has come for a turn of the event loop, in which one
   * is accepted at least, or after `maxMs`, so that callers who keep coming do not
   * hold up a stop. The system resets those that wait when a server stops to
   * listen, although their callers may have sent requests.
   */
  async untilAccepted(maxMs: Millis): Promise<void> {
    const limit = AbortSignal.timeout(Math.ceil(maxMs));
    let acceptedCount: number;
    do {
      acceptedCount = this.#acceptedCount;
      await nextPoll();
    } while (!limit.aborted && this.#acceptedCount !== acceptedCount);
  }
}
