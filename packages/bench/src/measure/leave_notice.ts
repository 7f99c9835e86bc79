import type { RequestResult } from "../load/request_result.js";
import { round } from "../report/load_summary.js";

/** The announcement in the instance list that an endpoint is leaving. */
export interface LeaveNotice {
  readonly endpoint: string;
  /** Time of the announcement after the start of the load. */
  readonly atMs: number;
}

/**
 * Returns the longest time in ms from the leave notice of an endpoint to the
 * due time of the last request that the endpoint ran; 0 when no endpoint ran a
 * request that was due after its notice.
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
