import { createHash } from "node:crypto";

/** SHA-256 in hexadecimal digits. */
export function sha256Hex(text: string): string {
  return createHash("sha256").update(text, "utf8").digest("hex");
}
