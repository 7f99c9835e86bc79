/**
 * Parts of at least this size are kept as they are. Smaller ones are copied into
 * blocks: a separate buffer for each would take hundreds of bytes for a part of
 * one byte.
 */
const MIN_KEPT_PART_BYTES = 4096;

/** Size of the first block; later ones grow with the number of bytes. */
const MIN_BLOCK_BYTES = 64;

/** Bytes that arrive in parts of any size and are joined later. */
export class ByteParts {
  #parts: Uint8Array[] = [];
  /** Copied parts, which are not in `#parts` yet. */
  #block = new Uint8Array();
  #blockLength = 0;
  #bytes = 0;

  /** Number of bytes in all parts. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Adds a part, which must not be changed afterwards. */
  add(part: Uint8Array): void {
    if (this.#bytes === 0 || part.length >= MIN_KEPT_PART_BYTES) {
      this.#closeBlock();
      this.#parts.push(part);
    } else {
      this.#copy(part);
    }
    this.#bytes += part.length;
  }

  /** Returns all bytes, without a copy if they arrived in one part. */
  join(): Uint8Array {
    this.#closeBlock();
    if (this.#parts.length === 1) {
      return this.#parts[0];
    }
    const joined = new Uint8Array(this.#bytes);
    let offset = 0;
    for (const part of this.#parts) {
      joined.set(part, offset);
      offset += part.length;
    }
    this.#parts = [joined];
    return joined;
  }

  /** Replaces all parts by one. */
  reset(part: Uint8Array): void {
    this.#parts = part.length > 0 ? [part] : [];
    this.#block = new Uint8Array();
    this.#blockLength = 0;
    this.#bytes = part.length;
  }

  #copy(part: Uint8Array): void {
    if (this.#blockLength + part.length > this.#block.length) {
      this.#closeBlock();
      const bytes = Math.min(this.#bytes, MIN_KEPT_PART_BYTES);
      this.#block = new Uint8Array(
        Math.max(MIN_BLOCK_BYTES, bytes, part.length),
      );
    }
    this.#block.set(part, this.#blockLength);
    this.#blockLength += part.length;
  }

  #closeBlock(): void {
    if (this.#blockLength > 0) {
      this.#parts.push(this.#block.subarray(0, this.#blockLength));
    }
    this.#block = new Uint8Array();
    this.#blockLength = 0;
  }
}
