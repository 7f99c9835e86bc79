import type { IncomingMessage } from "node:http";
import { AdminError } from "./admin_error.js";

/**
 * Reads a JSON body of at most `maxBytes`; an empty body is read as `{}`.
 *
 * Rejects with `AdminError` 413 for a larger body and 400 for one that is
 * incomplete or not JSON.
 */
export async function readJsonBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<unknown> {
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  if (declaredBytes > maxBytes) {
    throw bodyTooLargeError(maxBytes);
  }
  const body = await readBytes(request, maxBytes);
  return body.length === 0 ? {} : parseJson(body.toString("utf8"));
}

/**
 * Uses listeners rather than iteration: leaving a loop over the request early
 * would destroy the socket, which the response needs.
 */
function readBytes(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= maxBytes) {
        chunks.push(chunk);
        return;
      }
      chunks.length = 0;
      reject(bodyTooLargeError(maxBytes));
    });
    request.once("end", () => resolve(Buffer.concat(chunks)));
    request.once("close", () => reject(incompleteBodyError()));
  });
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
