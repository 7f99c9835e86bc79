import type { IncomingMessage } from "node:http";
import type { Millis } from "@anvildeal/core";

/** How much of a body is discarded, and for how long, before the connection closes. */
export interface DiscardLimits {
  readonly maxBytes: number;
  readonly timeoutMs: Millis;
  readonly onDiscard?: (bytes: number) => void;
}

/**
 * Reads and discards the rest of a body whose request was refused: a caller that is
 * still sending could otherwise get a connection reset instead of the answer.
 */
export function discardBody(
  request: IncomingMessage,
  { maxBytes, onDiscard, timeoutMs }: DiscardLimits,
): void {
  if (request.complete || request.destroyed) {
    request.resume();
    return;
  }
  const timer = setTimeout(() => request.socket.destroy(), timeoutMs);
  const stop = () => clearTimeout(timer);
  let bytes = 0;
  request.on("data", (part: Buffer) => {
    bytes += part.length;
    onDiscard?.(part.length);
    if (bytes > maxBytes) {
      request.socket.destroy();
    }
  });
  request.once("end", stop);
  request.once("close", stop);
  request.on("error", () => {});
  request.resume();
}
