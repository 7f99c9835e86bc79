import type { IncomingMessage } from "node:http";
import { headerOf } from "./http_exchange.js";

/** How often a request was started, completed and continued. */
export interface ExecutionCount {
  readonly id: string;
  started: number;
  completed: number;
  /** Starts that continued the answer of an earlier start. */
  continued: number;
}

/**
 * Returns the identity under which an execution is counted. The header
 * `x-execution-id` takes precedence over the router's request id, because the
 * caller sets the header: it also reveals a duplicate that a router handled as
 * a new request.
 */
export function executionIdOf(request: IncomingMessage): string | undefined {
  return headerOf(request, "x-execution-id") ??
    headerOf(request, "anvildeal-request");
}

/** Counts executions by identity to detect duplicates. */
export class ExecutionLog {
  readonly #counts = new Map<string, ExecutionCount>();
  #unidentified = 0;

  /** Counts a start; starts without an identity share one total. */
  start(id: string | undefined, continued = false): void {
    if (id === undefined) {
      this.#unidentified += 1;
      return;
    }
    const count = this.#counts.get(id) ??
      { id, started: 0, completed: 0, continued: 0 };
    count.started += 1;
    count.continued += continued ? 1 : 0;
    this.#counts.set(id, count);
  }

  complete(id: string | undefined): void {
    const count = id === undefined ? undefined : this.#counts.get(id);
    if (count) {
      count.completed += 1;
    }
  }

  startedCount(id: string): number {
    return this.#counts.get(id)?.started ?? 0;
  }

  toJSON(): { executions: ExecutionCount[]; unidentified: number } {
    return {
      executions: [...this.#counts.values()],
      unidentified: this.#unidentified,
    };
  }
}
