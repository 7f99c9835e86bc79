const HASH_BYTES = 8;

/**
 * Maximum number of hashes in one probe: 8 hashes of 8 bytes keep the probe at
 * 64 bytes.
 */
const MAX_SAMPLED_HASHES = 8;

/** Encodes 64-bit hashes for a message, in big-endian byte order. */
export function packHashes(hashes: readonly bigint[]): Uint8Array {
  const packed = new Uint8Array(hashes.length * HASH_BYTES);
  const view = new DataView(packed.buffer);
  hashes.forEach((hash, i) => view.setBigUint64(i * HASH_BYTES, hash));
  return packed;
}

/**
 * Decodes the output of {@link packHashes}; ignores an incomplete last hash.
 */
export function unpackHashes(packed: Uint8Array): bigint[] {
  const view = new DataView(packed.buffer, packed.byteOffset, packed.length);
  const count = Math.floor(packed.length / HASH_BYTES);
  return Array.from(
    { length: count },
    (_, i) => view.getBigUint64(i * HASH_BYTES),
  );
}

/**
 * Indexes of the prompt blocks whose hashes a probe contains, in ascending
 * order.
 *
 * A returning chat shares all but its last few blocks with its previous
 * request, so the sample is dense at the end and sparse towards the start.
 */
export function sampleBlockIndexes(blockCount: number): number[] {
  const indexes = new Set<number>();
  let distance = 1;
  while (indexes.size < MAX_SAMPLED_HASHES && distance <= blockCount) {
    indexes.add(blockCount - distance);
    distance = distance < 4 ? distance + 1 : distance * 2;
  }
  return [...indexes].sort((a, b) => a - b);
}
