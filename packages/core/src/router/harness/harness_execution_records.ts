import type { ExecutionDecision } from "../../sidecar/index.js";
import type { StoredAnswer, SubmitMessage } from "../../wire/index.js";

interface ExecutionRecord {
  readonly attemptId: string;
  readonly fingerprint: string;
  answer: StoredAnswer | undefined;
}

/**
 * Simulated store of the execution records of calls with an idempotency key.
 */
export class HarnessExecutionRecords {
  readonly #records = new Map<string, ExecutionRecord>();
  available = true;

  /**
   * Creates an execution record for a new key; refuses a call whose key has a
   * record.
   */
  decideExecution(attemptId: string, submit: SubmitMessage): ExecutionDecision {
    const refuse = (
      reason: "store_unavailable" | "duplicate_running" | "duplicate_finished",
      answer?: StoredAnswer,
    ): ExecutionDecision => ({
      type: "refuse",
      reason,
      outcome: reason === "store_unavailable" ? "not-run" : "unknown",
      retryAfterMs: 1000,
      answer,
    });
    if (!this.available) {
      return refuse("store_unavailable");
    }
    const key = submit.idempotencyKey ?? "";
    const record = this.#records.get(key);
    if (!record) {
      const fingerprint = submit.fingerprint ?? "";
      this.#records.set(key, { attemptId, fingerprint, answer: undefined });
      return { type: "start" };
    }
    return record.answer
      ? refuse("duplicate_finished", record.answer)
      : refuse("duplicate_running");
  }

  /** Stores the answer of a finished call, unless the store is unavailable. */
  storeAnswer(attemptId: string, answer: StoredAnswer | undefined): void {
    const record = [...this.#records.values()].find((other) =>
      other.attemptId === attemptId
    );
    if (record && this.available) {
      record.answer = answer;
    }
  }
}
