import { estimateTokens, type TokenUsage } from "@anvildeal/core";
import { createParser, type EventSourceParser } from "eventsource-parser";

interface ChatEvent {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string | null };
  }[];
  readonly usage?: {
    readonly prompt_tokens?: number;
    readonly completion_tokens?: number;
    readonly prompt_tokens_details?: { readonly cached_tokens?: number };
  } | null;
}

/** Whole events that one read of the engine's stream completed. */
export interface ReadEvents {
  readonly data: Uint8Array;
  readonly outputTokens: number;
}

/** Reads the server-sent events of a chat stream of an engine. */
export class ChatEventReader {
  readonly #parser: EventSourceParser;
  readonly #decoder = new TextDecoder();
  readonly #encoder = new TextEncoder();
  readonly #keepUsageEvent: boolean;
  #pending = "";
  #outputTokens = 0;
  #eventCount = 0;
  #usage: TokenUsage | undefined;
  #done = false;

  /** `keepUsageEvent` passes the event on that only reports usage. */
  constructor(keepUsageEvent: boolean) {
    this.#keepUsageEvent = keepUsageEvent;
    this.#parser = createParser({ onEvent: ({ data }) => this.#read(data) });
  }

  /** Number of events read so far; a resumed stream starts here. */
  get eventCount(): number {
    return this.#eventCount;
  }

  get usage(): TokenUsage | undefined {
    return this.#usage;
  }

  /** Whether the closing event has been read. */
  get done(): boolean {
    return this.#done;
  }

  push(bytes: Uint8Array): ReadEvents {
    this.#parser.feed(this.#decoder.decode(bytes, { stream: true }));
    const read = {
      data: this.#encoder.encode(this.#pending),
      outputTokens: this.#outputTokens,
    };
    this.#pending = "";
    this.#outputTokens = 0;
    return read;
  }

  /** Forgets a partial event before the stream is read from a new start. */
  restart(): void {
    this.#parser.reset();
  }

  #read(data: string): void {
    this.#eventCount++;
    if (data === "[DONE]") {
      this.#done = true;
      this.#pending += `data: ${data}\n\n`;
      return;
    }
    const event = JSON.parse(data) as ChatEvent;
    if (event.usage) {
      this.#usage = usageOf(event.usage);
    }
    // An event can carry several tokens, so they are estimated by length.
    const content = event.choices?.[0]?.delta?.content ?? "";
    this.#outputTokens += estimateTokens(content);
    const isUsageOnly = event.usage && event.choices?.length === 0;
    if (!isUsageOnly || this.#keepUsageEvent) {
      this.#pending += `data: ${data}\n\n`;
    }
  }
}

/** Usage as an OpenAI-compatible engine reports it. */
export function usageOf(usage: NonNullable<ChatEvent["usage"]>): TokenUsage {
  return {
    promptTokens: usage.prompt_tokens ?? 0,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
    outputTokens: usage.completion_tokens ?? 0,
  };
}
