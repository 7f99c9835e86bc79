import type { Socket } from "node:net";

/** Address of a caller whose connection has ended before it was read. */
const UNKNOWN_ADDRESS = "unknown";

/** Address of the caller on a connection, without the port. */
export function callerAddressOf({ remoteAddress }: Socket): string {
  return remoteAddress ?? UNKNOWN_ADDRESS;
}
