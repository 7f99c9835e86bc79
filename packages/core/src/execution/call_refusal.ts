import type { Millis } from "../clock.js";
import type { Outcome, RefusalReason, StoredAnswer } from "../wire/messages.js";
import { parseExecutionRecord, recordedAnswer } from "./execution_record.js";

/** Answer to a keyed attempt that does not run. */
export interface CallRefusal {
  readonly reason: RefusalReason;
  readonly outcome: Outcome;
  /** Time after which the caller may try again; 0 if waiting does not help. */
  readonly retryAfterMs: Millis;
  /** Answer of the finished call under the same key, if it was recorded. */
  readonly answer?: StoredAnswer;
}

/**
 * A call without a recorded result counts as lost this long after its start:
 * whether the call had an effect can no longer be determined.
 */
export const UNKNOWN_AFTER_MS: Millis = 10 * 60 * 1000;

/** Retry delay suggested to a caller whose first call is still running. */
const RUNNING_RETRY_AFTER_MS: Millis = 1_000;

/** Retry delay suggested while the object store does not answer. */
const STORE_RETRY_AFTER_MS: Millis = 5_000;

export const STORE_UNAVAILABLE: CallRefusal = {
  reason: "store_unavailable",
  outcome: "not-run",
  retryAfterMs: STORE_RETRY_AFTER_MS,
};

export const CANCELLED: CallRefusal = {
  reason: "cancelled",
  outcome: "not-run",
  retryAfterMs: 0,
};

export const START_WINDOW_PASSED: CallRefusal = {
  reason: "start_window_passed",
  outcome: "not-run",
  retryAfterMs: 0,
};

/**
 * Refusal of a call whose idempotency key already has a record.
 *
 * If the record shows another fingerprint, the refused call is a different
 * request, which has not run: the outcome is `not-run`. Otherwise the outcome
 * is `unknown`, because the recorded call has run or may run.
 */
export function refuseRepeat(
  value: unknown,
  fingerprint: string,
  wallMs: Millis,
): CallRefusal {
  const record = parseExecutionRecord(value);
  if (record === undefined) {
    return repeatRefusal("duplicate_unknown");
  }
  if (record.fingerprint !== fingerprint) {
    return {
      reason: "fingerprint_mismatch",
      outcome: "not-run",
      retryAfterMs: 0,
    };
  }
  if (record.state === "finished") {
    const answer = recordedAnswer(record);
    const refusal = repeatRefusal("duplicate_finished");
    return answer === undefined ? refusal : { ...refusal, answer };
  }
  return wallMs - record.startedAtMs < UNKNOWN_AFTER_MS
    ? repeatRefusal("duplicate_running", RUNNING_RETRY_AFTER_MS)
    : repeatRefusal("duplicate_unknown");
}

function repeatRefusal(
  reason: RefusalReason,
  retryAfterMs: Millis = 0,
): CallRefusal {
  return { reason, outcome: "unknown", retryAfterMs };
}
