import type { DirectCall, PromptPart } from "./direct_event.js";

/**
 * Parts of a prompt that other requests can have in common with it. The last
 * part is specific to the request or to its session.
 */
export function sharedPromptParts(
  { promptParts }: Pick<DirectCall, "promptParts">,
): readonly PromptPart[] {
  return promptParts.slice(0, -1);
}
