const HASH_BYTES = 8;

/** Most hashes in one probe; 64 bytes keep probes cheap. */
const MAX_SAMPLED_HASHES = 8;

/** Encodes 64-bit hashes for a message, big-endian. */
export function packHashes(hashes: readonly bigint[]): Uint8Array {
  const packed = new Uint8Array(hashes.length * HASH_BYTES);
  const view = new DataView(packed.buffer);
  hashes.forEach((hash, i) => view.setBigUint64(i * HASH_BYTES, hash));
  return packed;
}

/** Decodes hashes of {@link packHashes}; ignores an incomplete last one. */
export function unpackHashes(packed: Uint8Array): bigint[] {
  const view = new DataView(packed.buffer, packed.byteOffset, packed.length);
  const count = Math.floor(packed.length / HASH_BYTES);
  return Array.from(
    { length: count },
    (_, i) => view.getBigUint64(i * HASH_BYTES),
  );
}

/**
 * Indexes of the blocks whose hashes a probe carries, in ascending order.
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
