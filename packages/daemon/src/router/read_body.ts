import type { IncomingMessage } from "node:http";
import type { Millis } from "@anvildeal/core";
import { CallerError } from "./caller_error.js";

export interface BodyLimits {
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: Millis;
}

/**
 * Reads a request body within limits of size and time.
 *
 * Rejects with {@link CallerError} of status 413 when the body is too large and
 * 408 when it is too slow, and with another error when the connection fails.
 * The rest of a rejected body is read and discarded for up to `bodyTimeoutMs`,
 * since a caller that is still sending would otherwise receive a connection
 * reset instead of the response.
 */
export function readBody(
  request: IncomingMessage,
  { maxBodyBytes, bodyTimeoutMs }: BodyLimits,
): Promise<Uint8Array> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let bytes = 0;
    const fail = (error: Error) => {
      clearTimeout(timer);
      request.removeAllListeners("data");
      request.resume();
      discardFor(request, bodyTimeoutMs);
      reject(error);
    };
    const rejectTooLarge = () =>
      fail(
        new CallerError(
          413,
          "body_too_large",
          `The body exceeds the limit of ${maxBodyBytes} bytes.`,
        ),
      );
    const timer = setTimeout(
      () =>
        fail(
          new CallerError(
            408,
            "body_timeout",
            `The body did not arrive within ${bodyTimeoutMs} ms.`,
          ),
        ),
      bodyTimeoutMs,
    );
    request.on("data", (part: Buffer) => {
      bytes += part.length;
      if (bytes > maxBodyBytes) {
        rejectTooLarge();
        return;
      }
      parts.push(part);
    });
    request.once("end", () => {
      clearTimeout(timer);
      resolve(new Uint8Array(Buffer.concat(parts)));
    });
    request.once("error", (error) => {
      clearTimeout(timer);
      reject(error);
    });
    request.once("close", () => {
      clearTimeout(timer);
      reject(new Error("caller closed the connection"));
    });
    if (Number(request.headers["content-length"] ?? 0) > maxBodyBytes) {
      rejectTooLarge();
    }
  });
}

function discardFor(request: IncomingMessage, timeoutMs: Millis): void {
  const timer = setTimeout(() => request.destroy(), timeoutMs);
  request.once("close", () => clearTimeout(timer));
}
