import type { RequestResult, Verdict } from "../load/request_result.js";
import { percentile } from "../percentile.js";

/** Figures that the load tool measured in one run; part of the JSON output. */
export interface LoadSummary {
  readonly requests: number;
  readonly answered_whole: number;
  readonly wrong_answers: number;
  readonly cut_streams: number;
  readonly refused: number;
  readonly lost: number;
  readonly unsent: number;
  readonly unfinished: number;
  /**
   * Numbers of results whose verdict is not `whole`. The keys have the form
   * `verdict:status:reason:outcome`.
   */
  readonly reasons: Readonly<Record<string, number>>;
  readonly first_token_p50_ms: number;
  readonly first_token_p95_ms: number;
  readonly first_token_p99_ms: number;
  readonly inter_token_p95_ms: number;
  /** Fraction of the prompt tokens of returning chats that were cached. */
  readonly returning_cache_hit_ratio: number;
  /**
   * Hit ratio if each prompt of a returning chat had been sent to the engine
   * with the longest cached prefix of that prompt.
   */
  readonly oracle_cache_hit_ratio: number;
  readonly prompt_tokens: number;
  readonly output_tokens: number;
}

export function summarizeLoad(
  results: readonly RequestResult[],
): LoadSummary {
  const count = (verdict: Verdict) =>
    results.filter((result) => result.verdict === verdict).length;
  const chats = results.filter((result) => result.plan.kind === "chat");
  const firstTokenTimesMs = chats.flatMap((result) =>
    result.verdict === "whole" && result.firstTokenMs !== undefined
      ? [result.firstTokenMs]
      : []
  );
  const gaps = chats.flatMap((result) => result.gapsMs);
  const returningChats = chats.filter((result) =>
    result.verdict === "whole" && result.plan.kind === "chat" &&
    result.plan.turn > 0
  );
  const promptTokens = sum(returningChats, (result) => result.promptTokens);
  return {
    requests: results.length,
    answered_whole: count("whole"),
    wrong_answers: count("wrong"),
    cut_streams: count("cut"),
    refused: count("refused"),
    lost: count("lost"),
    unsent: count("unsent"),
    unfinished: count("unfinished"),
    reasons: countReasons(results),
    first_token_p50_ms: round(percentile(firstTokenTimesMs, 50)),
    first_token_p95_ms: round(percentile(firstTokenTimesMs, 95)),
    first_token_p99_ms: round(percentile(firstTokenTimesMs, 99)),
    inter_token_p95_ms: round(percentile(gaps, 95)),
    returning_cache_hit_ratio: ratio(
      sum(returningChats, (result) => result.cachedTokens),
      promptTokens,
    ),
    oracle_cache_hit_ratio: ratio(
      // The sampled cache contents may be out of date, so the number of tokens
      // that were in fact cached serves as a lower bound.
      sum(
        returningChats,
        (result) => Math.max(result.oracleTokens, result.cachedTokens),
      ),
      promptTokens,
    ),
    prompt_tokens: sum(chats, (result) => result.promptTokens),
    output_tokens: sum(chats, (result) => result.outputTokens),
  };
}

/**
 * Rounds to `digits` decimal places; NaN stays NaN and becomes null in JSON.
 */
export function round(value: number, digits = 1): number {
  const scale = 10 ** digits;
  return Math.round(value * scale) / scale;
}

/** Ratio rounded to four decimal places; NaN when `whole` is zero. */
export function ratio(part: number, whole: number): number {
  return whole === 0 ? NaN : round(part / whole, 4);
}

export function sum<T>(
  items: readonly T[],
  value: (item: T) => number,
): number {
  return items.reduce((total, item) => total + value(item), 0);
}

function countReasons(
  results: readonly RequestResult[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const result of results) {
    if (result.verdict !== "whole") {
      const outcome = result.outcome ?? "-";
      const status = result.status ?? "-";
      const key = `${result.verdict}:${status}:${result.reason}:${outcome}`;
      counts[key] = (counts[key] ?? 0) + 1;
    }
  }
  return counts;
}
