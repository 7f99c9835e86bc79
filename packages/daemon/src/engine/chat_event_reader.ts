import { estimateTokens, type TokenUsage } from "@anvildeal/core";
import { createParser, type EventSourceParser } from "eventsource-parser";
import { EngineError } from "./engine_error.js";

/** Limit of one event; a faulty engine may write without ever ending it. */
const MAX_EVENT_BYTES = 1024 * 1024;

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

/** The server-sent events that the latest chunk of the stream completed. */
export interface CompletedEvents {
  /** The events in the form in which they are forwarded to the caller. */
  readonly data: Uint8Array;
  /** Estimated number of output tokens in the events. */
  readonly outputTokens: number;
}

/** Parses the server-sent events of an engine's chat stream. */
export class ChatEventReader {
  readonly #parser: EventSourceParser;
  readonly #decoder = new TextDecoder();
  readonly #encoder = new TextEncoder();
  readonly #keepUsageEvent: boolean;
  #completedText = "";
  #outputTokens = 0;
  #eventCount = 0;
  /** Bytes since the last event. */
  #partialBytes = 0;
  #usage: TokenUsage | undefined;
  #done = false;

  /** `keepUsageEvent` forwards the event that reports only the token usage. */
  constructor(keepUsageEvent: boolean) {
    this.#keepUsageEvent = keepUsageEvent;
    this.#parser = createParser({
      onEvent: ({ data }) => this.#handleEvent(data),
    });
  }

  /** Number of events read so far; a resumed stream starts after them. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Token usage that the engine has reported; undefined before that. */
  get usage(): TokenUsage | undefined {
    return this.#usage;
  }

  /** Whether the final event, `[DONE]`, has been read. */
  get done(): boolean {
    return this.#done;
  }

  /**
   * Parses the next chunk of the stream. Throws `SyntaxError` when an event is
   * not valid JSON, and {@link EngineError} when one is too large.
   */
  push(bytes: Uint8Array): CompletedEvents {
    this.#partialBytes += bytes.length;
    this.#parser.feed(this.#decoder.decode(bytes, { stream: true }));
    if (this.#partialBytes > MAX_EVENT_BYTES) {
      throw new EngineError(
        `an event of the stream exceeds ${MAX_EVENT_BYTES} bytes`,
        true,
      );
    }
    const read = {
      data: this.#encoder.encode(this.#completedText),
      outputTokens: this.#outputTokens,
    };
    this.#completedText = "";
    this.#outputTokens = 0;
    return read;
  }

  /** Must be called before a resumed stream is read. */
  discardPartialEvent(): void {
    this.#parser.reset();
    this.#partialBytes = 0;
  }

  #handleEvent(data: string): void {
    this.#eventCount++;
    this.#partialBytes = 0;
    if (data === "[DONE]") {
      this.#done = true;
      this.#completedText += `data: ${data}\n\n`;
      return;
    }
    const event = JSON.parse(data) as ChatEvent;
    if (event.usage) {
      this.#usage = usageOf(event.usage);
    }
    // An event can contain several tokens; their number is estimated from the
    // length of the text.
    const content = event.choices?.[0]?.delta?.content ?? "";
    this.#outputTokens += estimateTokens(content);
    const isUsageOnly = event.usage && event.choices?.length === 0;
    if (!isUsageOnly || this.#keepUsageEvent) {
      this.#completedText += `data: ${data}\n\n`;
    }
  }
}

/** Converts the token usage that an OpenAI-compatible engine reports. */
export function usageOf(usage: NonNullable<ChatEvent["usage"]>): TokenUsage {
  return {
    promptTokens: usage.prompt_tokens ?? 0,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
    outputTokens: usage.completion_tokens ?? 0,
  };
}
