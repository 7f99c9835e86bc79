import type { IncomingMessage } from "node:http";
import { headerOf } from "./http_exchange.js";

/** How often one request ran. */
export interface ExecutionCount {
  readonly id: string;
  started: number;
  completed: number;
  /** Starts that continued text of an earlier start. */
  continued: number;
}

/**
 * Identity under which an execution is counted. `x-execution-id` comes from
 * the caller and therefore also finds a repeat that a router took for a new
 * request, so it takes precedence over the router's own request id.
 */
export function executionIdOf(request: IncomingMessage): string | undefined {
  return headerOf(request, "x-execution-id") ??
    headerOf(request, "anvildeal-request");
}

/** Counts executions by identity, so that duplicates can be found. */
export class ExecutionLog {
  readonly #counts = new Map<string, ExecutionCount>();
  #unidentified = 0;

  /** Counts a start; requests without identity are only counted in total. */
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
