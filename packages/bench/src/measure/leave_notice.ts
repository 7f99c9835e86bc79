import type { RequestResult } from "../load/request_result.js";
import { round } from "../report/load_summary.js";

/** The announcement that an endpoint leaves. */
export interface LeaveNotice {
  readonly endpoint: string;
  /** Time of the announcement after the start of the load. */
  readonly atMs: number;
}

/**
 * Longest time in ms from a notice to the due time of the last request that the
 * leaving endpoint ran; 0 when it ran none that was due after its notice.
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
