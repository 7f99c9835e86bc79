import { z } from "zod";
import type { Millis } from "../clock.js";
import type { DigestFunction } from "../config/config_sections.js";
import type { StoredAnswer } from "../wire/messages.js";
import { decodeBase64, encodeBase64 } from "./base64.js";

/** Prefix of the keys of all execution records. */
export const EXECUTION_RECORD_PREFIX = "calls/";

/** Time for which a record guards its key. */
export const RECORD_RETENTION_MS: Millis = 24 * 60 * 60 * 1000;

/** Largest answer that a record holds. */
export const MAX_RECORDED_ANSWER_BYTES = 64 * 1024;

const MAX_RECORDED_ANSWER_CHARS = Math.ceil(MAX_RECORDED_ANSWER_BYTES / 3) * 4;

const commonFields = {
  attemptId: z.string(),
  /**
   * Names one claim of the key. Unlike the attempt id, which a router may send
   * again, it is made by the sidecar and never used for another claim.
   */
  claimId: z.string(),
  /** Digest of the request; a repeat must have the same one. */
  fingerprint: z.string(),
  endpointId: z.string(),
  /** Wall-clock time of the sidecar that made the claim. */
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
  /** Body in base64; absent when it was too large to be kept. */
  answer: z.base64().max(MAX_RECORDED_ANSWER_CHARS).optional(),
});

/** The at-most-once record of a keyed call in the object store. */
export const ExecutionRecordSchema = z.discriminatedUnion("state", [
  StartedRecordSchema,
  FinishedRecordSchema,
]);
export type ExecutionRecord = z.infer<typeof ExecutionRecordSchema>;
export type StartedRecord = z.infer<typeof StartedRecordSchema>;
export type FinishedRecord = z.infer<typeof FinishedRecordSchema>;

/**
 * Key of the record of an account's idempotency key. `digest` is SHA-256 in
 * hexadecimal digits. JSON keeps account and key apart.
 */
export function executionRecordKey(
  account: string,
  idempotencyKey: string,
  digest: DigestFunction,
): string {
  const name = digest(JSON.stringify([account, idempotencyKey]));
  return `${EXECUTION_RECORD_PREFIX}${name}`;
}

/** The record of a call that has ended with an answer. */
export function finishRecord(
  started: StartedRecord,
  answer: StoredAnswer,
): FinishedRecord {
  const body = answer.body ?? new Uint8Array();
  const kept = body.length <= MAX_RECORDED_ANSWER_BYTES;
  return {
    ...started,
    state: "finished",
    status: answer.status,
    headers: answer.headers,
    ...(kept ? { answer: encodeBase64(body) } : {}),
  };
}

/** The answer that a record holds; undefined when it was not kept. */
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

/** Reads a stored value; undefined when it is not a record. */
export function parseExecutionRecord(
  value: unknown,
): ExecutionRecord | undefined {
  const parsed = ExecutionRecordSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
