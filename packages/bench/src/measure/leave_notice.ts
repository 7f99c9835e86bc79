import type { RequestResult } from "../load/request_result.js";
import { round } from "../report/load_summary.js";

/** The announcement in the instance list that an endpoint is leaving. */
export interface LeaveNotice {
  readonly endpoint: string;
  /** Time from the start of the load to the announcement. */
  readonly atMs: number;
}

/**
 * For each notice, takes the time in ms from the notice to the due time of the
 * last request that the endpoint ran. Returns the longest of these times, or 0
 * when no endpoint ran a request that was due after its notice.
 */
export function lastNewWorkAfterNoticeMs(
  results: readonly RequestResult[],
  notices: readonly LeaveNotice[],
): number {
  const lastWorkMs = notices.map(({ endpoint, atMs }) =>
    results.filter((result) => result.endpoint === endpoint)
      .reduce((last, result) => Math.max(last, result.atMs - atMs), 0)
  );
  return round(Math.max(0, ...lastWorkMs));
}
