/** Routers to which each router passes on what another one found. */
const RELAY_COUNT = 3;

/**
 * Routers to which a router passes on what it received from the one that found it,
 * which has sent it to all routers that it is connected to.
 *
 * If this router is connected to all known ones, the next three by id suffice: they
 * get what the finder could not send them because a connection is missing there,
 * and the messages do not grow with the square of the fleet. Otherwise all
 * connected routers are told, as the fleet may be connected by this router only.
 */
export function relayTargets(
  ownId: string,
  connectedIds: readonly string[],
  knownIds: readonly string[],
): readonly string[] {
  const connected = new Set(connectedIds);
  if (!knownIds.every((id) => connected.has(id))) {
    return connectedIds;
  }
  const sorted = [...connectedIds].sort();
  const next = sorted.findIndex((id) => id > ownId);
  const start = next < 0 ? sorted.length : next;
  return [...sorted.slice(start), ...sorted.slice(0, start)]
    .slice(0, RELAY_COUNT);
}
