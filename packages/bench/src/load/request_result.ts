import type { PlannedRequest } from "./planned_request.js";

/**
 * - `whole`: the complete and right answer;
 * - `wrong`: text that is not the answer to this request, nor a prefix of it;
 * - `cut`: a started answer that did not finish;
 * - `refused`: an error answer of the fleet or the endpoint;
 * - `lost`: the connection ended without an answer;
 * - `unsent`: no router accepted a connection;
 * - `unfinished`: no complete answer before the end of the run.
 */
export type Verdict =
  | "whole"
  | "wrong"
  | "cut"
  | "refused"
  | "lost"
  | "unsent"
  | "unfinished";

export interface RequestResult {
  readonly plan: PlannedRequest;
  readonly verdict: Verdict;
  /** Time after the start of the load at which the request was due. */
  readonly atMs: number;
  /** Time to the head of the answer. */
  readonly firstByteMs?: number;
  /** Measured from the due time, so that a late load tool is not hidden. */
  readonly firstTokenMs?: number;
  readonly totalMs: number;
  /** Times between successive pieces of a streaming answer. */
  readonly gapsMs: readonly number[];
  readonly status?: number;
  readonly outcome?: string;
  readonly endpoint?: string;
  readonly requestId?: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
  /** Tokens of the longest prefix cached at any engine when it was sent. */
  readonly oracleTokens: number;
  /** Machine-readable reason of a refusal or failure. */
  readonly reason?: string;
  readonly routerIndex: number;
}
