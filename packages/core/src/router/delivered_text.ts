import type { RequestState } from "./router_state.js";

interface StreamEvent {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string | null };
  }[];
}

/**
 * Returns the text of the answer that has been sent to the caller so far, taken
 * from its server-sent events.
 *
 * Each element of `deliveredData` contains only complete events, since the
 * sidecar does not split an event between two chunks.
 */
export function deliveredText(request: RequestState): string {
  const decoder = new TextDecoder();
  let text = "";
  for (const part of request.deliveredData) {
    for (const line of decoder.decode(part).split("\n")) {
      text += contentOfLine(line);
    }
  }
  return text;
}

function contentOfLine(line: string): string {
  const DATA_PREFIX = "data: ";
  if (!line.startsWith(DATA_PREFIX + "{")) {
    return "";
  }
  const event = JSON.parse(line.slice(DATA_PREFIX.length)) as StreamEvent;
  return event.choices?.[0]?.delta?.content ?? "";
}
