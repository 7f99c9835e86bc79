/** What one connection or request holds, as far as the choice depends on it. */
export interface HoldingState {
  /** Address of the caller, without the port. */
  readonly address: string;
  readonly heldBytes: number;
  /** Total bytes that the process had received when this holding last grew. */
  readonly grownAtBytes: number;
  /** Whether the request may run, so that it must not be refused any more. */
  readonly pinned: boolean;
}

/**
 * Chooses the holding to evict, or undefined if none can be. Among the holdings of
 * the address that holds most, it is the one with the largest product of the bytes
 * held and the bytes that others have received since it last grew. A caller
 * at another address is thus never evicted in favour of a crowd, and a request that
 * still arrives is kept longer than one that has stopped short of its end.
 *
 * @param receivedBytes Total bytes that the process has received.
 */
export function chooseEviction<T extends HoldingState>(
  holdings: Iterable<T>,
  receivedBytes: number,
): T | undefined {
  const byAddress = new Map<string, { bytes: number; worst: T }>();
  for (const holding of holdings) {
    if (holding.pinned || holding.heldBytes === 0) {
      continue;
    }
    const group = byAddress.get(holding.address);
    if (!group) {
      byAddress.set(holding.address, {
        bytes: holding.heldBytes,
        worst: holding,
      });
      continue;
    }
    group.bytes += holding.heldBytes;
    if (cost(holding, receivedBytes) > cost(group.worst, receivedBytes)) {
      group.worst = holding;
    }
  }
  let largest: { bytes: number; worst: T } | undefined;
  for (const group of byAddress.values()) {
    if (!largest || group.bytes > largest.bytes) {
      largest = group;
    }
  }
  return largest?.worst;
}

function cost(
  { grownAtBytes, heldBytes }: HoldingState,
  receivedBytes: number,
): number {
  return heldBytes * (receivedBytes - grownAtBytes + 1);
}
