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
  readonly duplicate_executions: number;
  /** Calls answered `not-run` that ran. */
  readonly not_run_but_ran: number;
  /** Calls answered as successful that did not run. */
  readonly answered_but_not_run: number;
  readonly outcome_unknown: number;
}

/** Counts how often each call ran, over all backends of a run. */
export class ExecutionAudit {
  readonly #started = new Map<string, number>();

  /** Adds the log of a backend; call it once, before the backend ends. */
  async collect(backend: StandIn): Promise<void> {
    const answer = await callJson(`${backend.controlUrl}/executions`);
    this.add(answer.body as ExecutionsBody);
  }

  add(body: ExecutionsBody): void {
    for (const { id, started } of body.executions) {
      this.#started.set(id, (this.#started.get(id) ?? 0) + started);
    }
  }

  get totalStarts(): number {
    return [...this.#started.values()].reduce((a, b) => a + b, 0);
  }

  startedCount(id: string): number {
    return this.#started.get(id) ?? 0;
  }

  /** A call may have several results when the caller repeated it. */
  summarize(results: readonly RequestResult[]): AuditSummary {
    const calls = new Map<string, RequestResult[]>();
    for (const result of results) {
      if (result.plan.kind === "call" && !result.plan.isIdempotent) {
        const list = calls.get(result.plan.callId) ?? [];
        list.push(result);
        calls.set(result.plan.callId, list);
      }
    }
    let duplicates = 0;
    let notRunButRan = 0;
    let answeredButNotRun = 0;
    let unknown = 0;
    for (const [id, list] of calls) {
      const started = this.startedCount(id);
      duplicates += Math.max(0, started - 1);
      // Only a call whose every answer was `not-run` is known not to have run.
      const isNotRun = list.every((result) => result.outcome === "not-run");
      notRunButRan += isNotRun && started > 0 ? 1 : 0;
      const isWhole = list.some((result) => result.verdict === "whole");
      answeredButNotRun += isWhole && started === 0 ? 1 : 0;
      unknown += list.some((result) => result.outcome === "unknown") ? 1 : 0;
    }
    return {
      non_idempotent_calls: calls.size,
      duplicate_executions: duplicates,
      not_run_but_ran: notRunButRan,
      answered_but_not_run: answeredButNotRun,
      outcome_unknown: unknown,
    };
  }
}
