import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** Length of a digest in hexadecimal digits; 128 bits are not found twice. */
const DIGEST_LENGTH = 32;

/**
 * Returns a function that computes a digest of method, path and body of a
 * request at its first call.
 */
export function lazyContentDigest(
  { method, url }: Pick<IncomingMessage, "method" | "url">,
  body: Buffer,
): () => string {
  let digest: string | undefined;
  return () => {
    digest ??= createHash("sha256")
      .update(`${method} ${url}\n`)
      .update(body)
      .digest("hex")
      .slice(0, DIGEST_LENGTH);
    return digest;
  };
}
