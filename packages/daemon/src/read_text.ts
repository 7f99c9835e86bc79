import type { Readable } from "node:stream";

/** A response body is larger than its reader takes. */
export class OversizedBodyError extends Error {
  override readonly name = "OversizedBodyError";

  constructor(maxBytes: number) {
    super(`the body exceeds ${maxBytes} bytes`);
  }
}

/**
 * Reads a response body as text. Throws {@link OversizedBodyError} and closes the
 * connection if it is longer, since a faulty sender may write without end.
 */
export async function readText(
  body: Readable,
  maxBytes: number,
): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > maxBytes) {
      throw new OversizedBodyError(maxBytes);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}
