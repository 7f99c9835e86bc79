import type { Readable } from "node:stream";
import { ByteParts } from "@anvildeal/core";

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
  const parts = new ByteParts();
  for await (const chunk of body as AsyncIterable<Buffer>) {
    parts.add(chunk);
    if (parts.bytes > maxBytes) {
      throw new OversizedBodyError(maxBytes);
    }
  }
  return asBuffer(parts.join()).toString();
}

/** Returns the same bytes as a buffer. */
export function asBuffer(
  { buffer, byteLength, byteOffset }: Uint8Array,
): Buffer {
  return Buffer.from(buffer, byteOffset, byteLength);
}
