import { estimateTokens, promptText } from "@anvildeal/core";
import type { ChatMessage } from "./planned_request.js";

/** Number of tokens of a prompt, counted as the stand-in engines do. */
export function promptTokensOf(messages: readonly ChatMessage[]): number {
  return estimateTokens(promptText(messages));
}
