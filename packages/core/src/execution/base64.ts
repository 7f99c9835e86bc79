/**
 * Number of bytes converted at a time; JavaScript engines limit the number of
 * call arguments.
 */
const CHUNK_BYTES = 8192;

/** Encodes bytes as base64; the core has no `Buffer`. */
export function encodeBase64(bytes: Uint8Array): string {
  let characters = "";
  for (let start = 0; start < bytes.length; start += CHUNK_BYTES) {
    const chunk = bytes.subarray(start, start + CHUNK_BYTES);
    characters += String.fromCharCode(...chunk);
  }
  return btoa(characters);
}

/** Decodes base64; throws `DOMException` if the text is invalid. */
export function decodeBase64(text: string): Uint8Array<ArrayBuffer> {
  const characters = atob(text);
  const bytes = new Uint8Array(characters.length);
  for (let i = 0; i < characters.length; i++) {
    bytes[i] = characters.charCodeAt(i);
  }
  return bytes;
}
