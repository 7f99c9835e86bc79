import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { Millis } from "@anvildeal/core";
import { type Disposable, openConnection } from "../net/index.js";

/**
 * Time from the broken answer to the check. The parts of a process that ends do
 * not all close at the same moment.
 */
const CHECK_DELAY_MS: Millis = 50;

/** An instance that is cut off or without power does not answer at all. */
const CHECK_TIMEOUT_MS: Millis = 250;

/** Finds out whether a process still listens on an address. */
export class EndpointCheck implements Disposable {
  readonly #sockets = new Set<Socket>();
  #disposed = false;

  /**
   * Whether the instance answers that nothing listens on the address. False if it
   * does not answer, since that says nothing about the process.
   */
  async run(
    address: string,
    delayMs = CHECK_DELAY_MS,
    timeoutMs = CHECK_TIMEOUT_MS,
  ): Promise<boolean> {
    await sleep(delayMs);
    if (this.#disposed) {
      return false;
    }
    const socket = openConnection(address);
    this.#sockets.add(socket);
    const refused = await new Promise<boolean>((resolve) => {
      socket.setTimeout(timeoutMs, () => resolve(false));
      socket.once("connect", () => resolve(false));
      socket.once(
        "error",
        (error: NodeJS.ErrnoException) =>
          resolve(error.code === "ECONNREFUSED"),
      );
      socket.once("close", () => resolve(false));
    });
    this.#sockets.delete(socket);
    socket.destroy();
    return refused;
  }

  dispose(): void {
    this.#disposed = true;
    this.#sockets.forEach((socket) => socket.destroy());
  }
}
