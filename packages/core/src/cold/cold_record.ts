import type { Millis } from "../clock.js";
import type { EndpointRecord } from "../direct/routing_config.js";

/** Returns an entry as it was received some time ago, to pass it on now. */
export function agedRecord(
  { coldForMs, ...record }: EndpointRecord,
  elapsedMs: Millis,
): EndpointRecord {
  const remainingMs = (coldForMs ?? 0) - elapsedMs;
  return remainingMs > 0 ? { ...record, coldForMs: remainingMs } : record;
}
