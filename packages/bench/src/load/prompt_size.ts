import { estimateTokens, promptText } from "@anvildeal/core";
import type { ChatMessage } from "./planned_request.js";

/** Tokens of a prompt as engines count them. */
export function promptTokensOf(messages: readonly ChatMessage[]): number {
  return estimateTokens(promptText(messages));
}
