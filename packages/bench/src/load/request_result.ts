import type { PlannedRequest } from "./planned_request.js";

/**
 * - `whole`: the complete, correct answer;
 * - `wrong`: text that is neither the answer to the request nor a prefix of it;
 * - `cut`: an answer that started but did not finish;
 * - `refused`: an error status from the fleet or the endpoint;
 * - `lost`: the connection failed before any content of the answer arrived;
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
  /** Time from the start of the load to the due time of the request. */
  readonly atMs: number;
  /** Time from the due time to the response headers. */
  readonly firstByteMs?: number;
  /**
   * Time from the due time to the first content of a stream, or to the end of
   * an answer that is not streamed. The time includes delays of the load tool,
   * because it starts at the due time.
   */
  readonly firstTokenMs?: number;
  /** Time from the due time to the end of the answer or the failure. */
  readonly totalMs: number;
  /** Times between successive pieces of an answer that is streamed. */
  readonly gapsMs: readonly number[];
  readonly status?: number;
  /** Value of the `anvildeal-outcome` header. */
  readonly outcome?: string;
  readonly endpoint?: string;
  readonly requestId?: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
  /**
   * Number of tokens in the longest prompt prefix that any one engine had
   * cached when the request was sent.
   */
  readonly oracleTokens: number;
  /** Machine-readable reason of a refusal or failure. */
  readonly reason?: string;
  /**
   * Index of the last router tried; -1 if no router was tried or the request is
   * unfinished.
   */
  readonly routerIndex: number;
}
