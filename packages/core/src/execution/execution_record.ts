import { z } from "zod";
import type { Millis } from "../clock.js";
import type { DigestFunction } from "../config/config_sections.js";
import type { StoredAnswer } from "../wire/messages.js";
import { decodeBase64, encodeBase64 } from "./base64.js";

/** Prefix of the keys of all execution records. */
export const EXECUTION_RECORD_PREFIX = "calls/";

/** Time for which a record prevents another call under its key. */
export const RECORD_RETENTION_MS: Millis = 24 * 60 * 60 * 1000;

/** Maximum size of an answer that is stored in a record. */
export const MAX_RECORDED_ANSWER_BYTES = 64 * 1024;

const MAX_RECORDED_ANSWER_CHARS = Math.ceil(MAX_RECORDED_ANSWER_BYTES / 3) * 4;

const commonFields = {
  attemptId: z.string(),
  /**
   * Identifies one claim of the key. Unlike the attempt id, which a router may
   * send again, the sidecar generates it and never uses it for another claim.
   */
  claimId: z.string(),
  /** Digest of the request; a repeat of the call must have the same digest. */
  fingerprint: z.string(),
  endpointId: z.string(),
  /** Time of the claim by the wall clock of the sidecar that made it. */
  startedAtMs: z.number(),
  /** Wall-clock time from which the record may be deleted. */
  expiresAtMs: z.number(),
};

const StartedRecordSchema = z.object({
  state: z.literal("started"),
  ...commonFields,
});

const FinishedRecordSchema = z.object({
  state: z.literal("finished"),
  ...commonFields,
  status: z.int(),
  headers: z.record(z.string(), z.string()),
  /** Body in base64; absent if it was too large to be recorded. */
  answer: z.base64().max(MAX_RECORDED_ANSWER_CHARS).optional(),
});

/** Record in the object store that makes a keyed call run at most once. */
export const ExecutionRecordSchema = z.discriminatedUnion("state", [
  StartedRecordSchema,
  FinishedRecordSchema,
]);
export type ExecutionRecord = z.infer<typeof ExecutionRecordSchema>;
export type StartedRecord = z.infer<typeof StartedRecordSchema>;
export type FinishedRecord = z.infer<typeof FinishedRecordSchema>;

/**
 * Store key of the execution record for an account's idempotency key. `digest`
 * must be SHA-256 in hexadecimal digits. JSON encoding separates account and
 * idempotency key unambiguously.
 */
export function executionRecordKey(
  account: string,
  idempotencyKey: string,
  digest: DigestFunction,
): string {
  const name = digest(JSON.stringify([account, idempotencyKey]));
  return `${EXECUTION_RECORD_PREFIX}${name}`;
}

/** Creates the record of a call that has ended with an answer. */
export function toFinishedRecord(
  started: StartedRecord,
  answer: StoredAnswer,
): FinishedRecord {
  const body = answer.body ?? new Uint8Array();
  const fits = body.length <= MAX_RECORDED_ANSWER_BYTES;
  return {
    ...started,
    state: "finished",
    status: answer.status,
    headers: answer.headers,
    ...(fits ? { answer: encodeBase64(body) } : {}),
  };
}

/** The answer in a record; undefined if it was too large to be recorded. */
export function recordedAnswer(
  record: FinishedRecord,
): StoredAnswer | undefined {
  if (record.answer === undefined) {
    return undefined;
  }
  return {
    status: record.status,
    headers: record.headers,
    body: decodeBase64(record.answer),
  };
}

/** Parses a stored value; returns undefined if it is not a record. */
export function parseExecutionRecord(
  value: unknown,
): ExecutionRecord | undefined {
  const parsed = ExecutionRecordSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
