import type { Millis } from "../clock.js";
import type { Outcome, RefusalReason, StoredAnswer } from "../wire/messages.js";
import { parseExecutionRecord, recordedAnswer } from "./execution_record.js";

/** Answer to a keyed attempt that does not run. */
export interface CallRefusal {
  readonly reason: RefusalReason;
  readonly outcome: Outcome;
  /** 0 when waiting does not help. */
  readonly retryAfterMs: Millis;
  /** Answer of the finished call under the same key, if it is still held. */
  readonly answer?: StoredAnswer;
}

/**
 * Time after the start from which a call without a recorded finish counts as
 * lost: nobody can tell any more whether it had an effect.
 */
export const UNKNOWN_AFTER_MS: Millis = 10 * 60 * 1000;

/** Pause suggested to a caller whose first call is still running. */
const RUNNING_RETRY_AFTER_MS: Millis = 1_000;

/** Pause suggested while the object store does not answer. */
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
 * Answer to a repeat of a call whose key has a record.
 *
 * The outcome is `unknown` unless the fingerprint shows another request: the
 * caller asks about the call under this key, and that one has run or may run.
 */
export function refuseRepeat(
  value: unknown,
  fingerprint: string,
  wallMs: Millis,
): CallRefusal {
  const record = parseExecutionRecord(value);
  if (record === undefined) {
    return repeat("duplicate_unknown");
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
    const refusal = repeat("duplicate_finished");
    return answer === undefined ? refusal : { ...refusal, answer };
  }
  return wallMs - record.startedAtMs < UNKNOWN_AFTER_MS
    ? repeat("duplicate_running", RUNNING_RETRY_AFTER_MS)
    : repeat("duplicate_unknown");
}

function repeat(reason: RefusalReason, retryAfterMs: Millis = 0): CallRefusal {
  return { reason, outcome: "unknown", retryAfterMs };
}
