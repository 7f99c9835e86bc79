import type { Millis } from "../clock.js";
import type { StoredObject } from "../store/object_store.js";
import { parseExecutionRecord } from "./execution_record.js";

/**
 * Time that a record is kept beyond its expiry, because the wall clocks of the
 * instance that wrote it and of the one that deletes it differ.
 */
export const EXPIRY_MARGIN_MS: Millis = 5 * 60 * 1000;

/** Whether a record may be deleted by the wall clock of this instance. */
export function isRecordExpired(expiresAtMs: Millis, wallMs: Millis): boolean {
  return wallMs >= expiresAtMs + EXPIRY_MARGIN_MS;
}

/**
 * The expired records of a page. Values that are not records are left alone:
 * a newer version of anvildeal may have written them.
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
