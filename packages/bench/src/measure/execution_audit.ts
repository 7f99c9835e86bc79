import { callJson } from "../fleet/json_client.js";
import type { StandIn } from "../fleet/nodes.js";
import type { RequestResult } from "../load/request_result.js";

interface ExecutionsBody {
  readonly executions: readonly {
    readonly id: string;
    readonly started: number;
  }[];
}

export interface AuditSummary {
  readonly non_idempotent_calls: number;
  /** Number of executions beyond the first execution of each call. */
  readonly duplicate_executions: number;
  /**
   * Number of calls that ran although the outcome of all their answers was
   * `not-run`.
   */
  readonly not_run_but_ran: number;
  /** Number of calls that were answered successfully but did not run. */
  readonly answered_but_not_run: number;
  /** Number of calls with at least one answer whose outcome was `unknown`. */
  readonly outcome_unknown: number;
}

/** Counts how often each call was executed, summed over all backends. */
export class ExecutionAudit {
  readonly #startsByCall = new Map<string, number>();

  /**
   * Adds the execution log of a backend. Must be called once for each backend,
   * before the backend ends.
   */
  async collect(backend: StandIn): Promise<void> {
    const answer = await callJson(`${backend.controlUrl}/executions`);
    this.add(answer.body as ExecutionsBody);
  }

  add(body: ExecutionsBody): void {
    for (const { id, started } of body.executions) {
      this.#startsByCall.set(id, (this.#startsByCall.get(id) ?? 0) + started);
    }
  }

  get totalStarts(): number {
    return [...this.#startsByCall.values()].reduce((a, b) => a + b, 0);
  }

  startedCount(id: string): number {
    return this.#startsByCall.get(id) ?? 0;
  }

  /**
   * `results` may contain several results of a call, because callers repeat
   * some calls.
   */
  summarize(results: readonly RequestResult[]): AuditSummary {
    const calls = new Map<string, RequestResult[]>();
    for (const result of results) {
      if (result.plan.kind === "call" && !result.plan.isIdempotent) {
        const callResults = calls.get(result.plan.callId) ?? [];
        callResults.push(result);
        calls.set(result.plan.callId, callResults);
      }
    }
    let duplicateExecutions = 0;
    let notRunButRan = 0;
    let answeredButNotRun = 0;
    let unknownOutcomes = 0;
    for (const [id, callResults] of calls) {
      const started = this.startedCount(id);
      duplicateExecutions += Math.max(0, started - 1);
      // A call is known not to have run only if the outcome of every answer is
      // `not-run`.
      const isNotRun = callResults.every((result) =>
        result.outcome === "not-run"
      );
      notRunButRan += isNotRun && started > 0 ? 1 : 0;
      const isAnswered = callResults.some((result) =>
        result.verdict === "whole"
      );
      answeredButNotRun += isAnswered && started === 0 ? 1 : 0;
      unknownOutcomes += callResults.some((result) =>
          result.outcome === "unknown"
        )
        ? 1
        : 0;
    }
    return {
      non_idempotent_calls: calls.size,
      duplicate_executions: duplicateExecutions,
      not_run_but_ran: notRunButRan,
      answered_but_not_run: answeredButNotRun,
      outcome_unknown: unknownOutcomes,
    };
  }
}
