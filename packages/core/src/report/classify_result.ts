import type { Objective } from "../config/index.js";
import type { RequestResult } from "./request_result.js";

/**
 * Whether a result is a good event of an objective; undefined if the result
 * does not belong to the objective or has no value for the objective's
 * indicator.
 */
export function classifyResult(
  objective: Objective,
  result: RequestResult,
): boolean | undefined {
  const { account, pool } = objective;
  if (
    account !== undefined && account !== result.account ||
    pool !== undefined && pool !== result.pool
  ) {
    return undefined;
  }
  const thresholdMs = objective.threshold_ms ?? Infinity;
  switch (objective.indicator) {
    case "first_token":
      if (result.firstTokenMs !== undefined) {
        return result.firstTokenMs <= thresholdMs;
      }
      // A caller who disconnected after the threshold has waited too long; a
      // quick refusal is no measure of latency.
      return result.elapsedMs > thresholdMs ? false : undefined;
    case "inter_token":
      return result.meanInterTokenMs === undefined
        ? undefined
        : result.meanInterTokenMs <= thresholdMs;
    case "deadline_met":
      return result.deadlineMet;
    case "whole_answers":
      return result.whole;
    case "availability":
      return result.available;
  }
}

/** Reason to which a bad event is attributed. */
export function badEventReason(
  objective: Objective,
  result: RequestResult,
): string {
  const isSlow = objective.threshold_ms !== undefined &&
    result.reason === "answered";
  return isSlow ? `slow_${objective.indicator}` : result.reason;
}
