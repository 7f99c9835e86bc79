import type { RequestResult } from "../load/request_result.js";
import { round } from "../report/load_summary.js";

/** When an endpoint was told to leave. */
export interface Notice {
  readonly endpoint: string;
  /** Time after the start of the load. */
  readonly atMs: number;
}

/**
 * Time from a notice to the last request that the leaving endpoint ran, the
 * longest of all; 0 when none ran. Requests count from their due time.
 */
export function lastNewWorkMs(
  results: readonly RequestResult[],
  notices: readonly Notice[],
): number {
  const latest = notices.map(({ endpoint, atMs }) =>
    results.filter((result) => result.endpoint === endpoint)
      .reduce((last, result) => Math.max(last, result.atMs - atMs), 0)
  );
  return round(Math.max(0, ...latest));
}
