import type { EngineOptions } from "../fleet/fleet_options.js";
import type { PlannedRequest } from "../load/planned_request.js";
import { promptTokensOf } from "../load/prompt_size.js";
import { sum } from "../report/load_summary.js";

/**
 * Estimates how many chat requests per second the engines can serve, from the
 * prefill rate, the number of slots and the time per token of a full batch.
 * Requests of `plan` that are not chats are ignored. `cachedFraction` is the
 * fraction of the prompt tokens that need no prefill.
 */
export function capacityRequestsPerS(
  plan: readonly PlannedRequest[],
  engine: EngineOptions,
  engineCount: number,
  cachedFraction: number,
): number {
  const chats = plan.filter((request) => request.kind === "chat");
  const prefillTokens = (1 - cachedFraction) *
    sum(chats, (chat) => promptTokensOf(chat.messages)) / chats.length;
  const outputTokens = sum(chats, (chat) => chat.maxTokens) / chats.length;
  const decodeMsPerToken = engine.decodeBaseMs +
    engine.decodePerRequestMs * engine.maxBatch;
  const prefillMs = prefillTokens * 1000 / engine.prefillTokensPerS;
  // An engine prefills one prompt at a time; a request occupies a slot during
  // prefill and decode.
  const slotLimitPerS = engine.maxBatch * 1000 /
    (prefillMs + outputTokens * decodeMsPerToken);
  const prefillLimitPerS = 1000 / prefillMs;
  return engineCount * Math.min(slotLimitPerS, prefillLimitPerS);
}
