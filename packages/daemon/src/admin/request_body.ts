import type { IncomingMessage } from "node:http";
import { AdminError } from "./admin_error.js";

/** Reads a JSON body of at most `maxBytes`; an empty body reads as `{}`. */
export async function readJsonBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<unknown> {
  const announced = Number(request.headers["content-length"] ?? 0);
  if (announced > maxBytes) {
    throw tooLarge(maxBytes);
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > maxBytes) {
      throw tooLarge(maxBytes);
    }
    chunks.push(chunk);
  }
  if (bytes === 0) {
    return {};
  }
  return parseJson(Buffer.concat(chunks).toString("utf8"));
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

function tooLarge(maxBytes: number): AdminError {
  return new AdminError(
    413,
    "too_large",
    `The body is larger than the limit of ${maxBytes} bytes.`,
  );
}
