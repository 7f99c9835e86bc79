/** What a connection is doing, as far as the choice depends on it. */
export interface ConnectionState {
  /** Address of the caller, without the port. */
  readonly address: string;
  /**
   * `incomplete`: has sent no complete request that awaits an answer, but may have
   * begun one; `idle`: had requests, all of which are answered; `running`: awaits an
   * answer.
   */
  readonly activity: "incomplete" | "idle" | "running";
}

/** Order in which connections are closed, the one that costs callers least first. */
const CLOSING_ORDER = ["incomplete", "idle", "running"] as const;

/**
 * Chooses the connection to close when there are too many: of the address with
 * most connections, the oldest of those whose callers lose least.
 *
 * @param connections From the oldest to the newest.
 */
export function chooseConnection<T extends ConnectionState>(
  connections: readonly T[],
): T | undefined {
  const counts = new Map<string, number>();
  for (const { address } of connections) {
    counts.set(address, (counts.get(address) ?? 0) + 1);
  }
  const largest = Math.max(...counts.values());
  const candidates = connections.filter(({ address }) =>
    counts.get(address) === largest
  );
  for (const activity of CLOSING_ORDER) {
    const found = candidates.find((each) => each.activity === activity);
    if (found) {
      return found;
    }
  }
  return undefined;
}
