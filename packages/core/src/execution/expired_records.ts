import type { Millis } from "../clock.js";
import type { StoredObject } from "../store/object_store.js";
import { parseExecutionRecord } from "./execution_record.js";

/**
 * Time for which a record is kept after its expiry, because the wall clocks of
 * the instance that wrote it and of the one that deletes it may differ.
 */
export const EXPIRY_MARGIN_MS: Millis = 5 * 60 * 1000;

/** Whether this instance, by its wall clock, may delete a record. */
export function isRecordExpired(expiresAtMs: Millis, wallMs: Millis): boolean {
  return wallMs >= expiresAtMs + EXPIRY_MARGIN_MS;
}

/**
 * Selects the expired records among listed objects. Values that are not records
 * are not selected: a newer version of anvildeal may have written them.
 */
export function expiredRecords(
  page: readonly StoredObject[],
  wallMs: Millis,
): StoredObject[] {
  return page.filter(({ value }) => {
    const record = parseExecutionRecord(value);
    return record !== undefined && isRecordExpired(record.expiresAtMs, wallMs);
  });
}
