import type { RequestState } from "./router_state.js";

interface StreamEvent {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string | null };
  }[];
}

/**
 * Text of the answer that the delivered server-sent events carried.
 *
 * The sidecar sends whole events, so no event is split between two parts.
 */
export function deliveredText(request: RequestState): string {
  const decoder = new TextDecoder();
  let text = "";
  for (const part of request.delivered) {
    for (const line of decoder.decode(part).split("\n")) {
      text += textOfLine(line);
    }
  }
  return text;
}

function textOfLine(line: string): string {
  const PREFIX = "data: ";
  if (!line.startsWith(PREFIX + "{")) {
    return "";
  }
  const event = JSON.parse(line.slice(PREFIX.length)) as StreamEvent;
  return event.choices?.[0]?.delta?.content ?? "";
}
