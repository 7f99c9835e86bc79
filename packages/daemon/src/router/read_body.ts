import type { Millis } from "@anvildeal/core";
import { BodyError, type BodyReader } from "../caller_memory/index.js";
import { CallerError } from "./caller_error.js";

/** Time after which a caller may repeat a request that found no memory. */
const MEMORY_RETRY_MS: Millis = 1000;

/** Bounds on the size of a body and on the time for it. */
export interface BodyLimits {
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: Millis;
}

/**
 * Reads a request body within limits of size and time.
 *
 * Rejects with {@link CallerError} of status 413 when the body is too large, 408
 * when it is too slow and 503 when there is no memory for it, and with
 * {@link BodyError} when the connection fails.
 */
export async function readBody(
  reader: BodyReader,
  { maxBodyBytes, bodyTimeoutMs }: BodyLimits,
): Promise<Uint8Array> {
  let timedOut = false;
  const timer = setTimeout(() => {
    timedOut = true;
    reader.cancel();
  }, bodyTimeoutMs);
  try {
    return await reader.read();
  } catch (error) {
    if (timedOut) {
      throw new CallerError(
        408,
        "body_timeout",
        `The body did not arrive within ${bodyTimeoutMs} ms.`,
      );
    }
    throw toCallerError(error, maxBodyBytes);
  } finally {
    clearTimeout(timer);
  }
}

/** Error of a request whose body is larger than allowed. */
export function bodyTooLargeError(maxBodyBytes: number): CallerError {
  return new CallerError(
    413,
    "body_too_large",
    `The body exceeds the limit of ${maxBodyBytes} bytes.`,
  );
}

/** Error of a request for which the memory for callers has no room. */
export function noMemoryError(): CallerError {
  return new CallerError(
    503,
    "caller_memory",
    "The router holds too much for callers; try again later.",
    MEMORY_RETRY_MS,
  );
}

function toCallerError(error: unknown, maxBodyBytes: number): unknown {
  if (!(error instanceof BodyError) || error.failure === "disconnected") {
    return error;
  }
  return error.failure === "too_large"
    ? bodyTooLargeError(maxBodyBytes)
    : noMemoryError();
}
