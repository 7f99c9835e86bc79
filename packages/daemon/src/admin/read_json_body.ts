import { BodyError, type BodyReader } from "../caller_memory/index.js";
import { AdminError } from "./admin_error.js";

/**
 * Reads a JSON body of at most `maxBytes`; an empty body is read as `{}`.
 *
 * Rejects with `AdminError` 413 for a larger body, 503 if there is no memory for
 * it, and 400 for one that is incomplete or not JSON.
 */
export async function readJsonBody(
  reader: BodyReader,
  maxBytes: number,
): Promise<unknown> {
  const body = await reader.read().catch((error: unknown) => {
    throw toAdminError(error, maxBytes);
  });
  return body.length === 0 ? {} : parseJson(body.toString("utf8"));
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    const message = "The body is not valid JSON.";
    throw new AdminError(400, "bad_request", message, [{
      file: "body",
      key: "(top level)",
      found: (error as Error).message,
      allowed: "must be JSON in UTF-8",
    }]);
  }
}

function toAdminError(error: unknown, maxBytes: number): unknown {
  if (!(error instanceof BodyError)) {
    return error;
  }
  switch (error.failure) {
    case "too_large":
      return bodyTooLargeError(maxBytes);
    case "no_memory":
      return new AdminError(
        503,
        "overloaded",
        "The router holds too much for callers; nothing was written. " +
          "Try again later.",
      );
    case "disconnected":
      return incompleteBodyError();
  }
}

function bodyTooLargeError(maxBytes: number): AdminError {
  return new AdminError(
    413,
    "too_large",
    `The body is larger than the limit of ${maxBytes} bytes.`,
  );
}

function incompleteBodyError(): AdminError {
  const message = "The connection closed before the whole body arrived.";
  return new AdminError(400, "bad_request", message);
}
