import type { RawHeaders } from "./call_dialect.js";

/** Hop-by-hop headers (RFC 9110, section 7.6.1). */
const HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "expect",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/**
 * Returns the headers that are not hop-by-hop. Headers that `Connection` names
 * are hop-by-hop, except `Host` and `Content-Length`.
 *
 * @param dropLength Whether to omit `Content-Length` because the client library
 *   sets it from the body.
 */
export function endToEndHeaders(
  rawHeaders: RawHeaders,
  dropLength: boolean,
): string[] {
  const connectionTokens = new Set<string>();
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    if (rawHeaders[i]!.toLowerCase() === "connection") {
      for (const token of rawHeaders[i + 1]!.toLowerCase().split(",")) {
        connectionTokens.add(token.trim());
      }
    }
  }
  const kept: string[] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = rawHeaders[i]!.toLowerCase();
    const dropped = HOP_HEADERS.has(name) ||
      (connectionTokens.has(name) && name !== "host" &&
        name !== "content-length") ||
      (dropLength && name === "content-length");
    if (!dropped) {
      kept.push(rawHeaders[i]!, rawHeaders[i + 1]!);
    }
  }
  return kept;
}
