/** Size at which three chunks fill the stream buffer, so that calls are paused. */
const LARGE_CHUNK_BYTES = 24 * 1024;

/** Answer that an endpoint of the harness gives; the request body contains it. */
export interface AnswerSpec {
  /** Prefix of each chunk's text, so that answers of different calls differ. */
  readonly name: string;
  /** Number of chunks. */
  readonly chunks: number;
  readonly large: boolean;
}

/** Texts of the chunks of an answer, different for each call and chunk. */
export function answerTexts({ chunks, name, large }: AnswerSpec): string[] {
  const padding = large ? ".".repeat(LARGE_CHUNK_BYTES) : "";
  return Array.from({ length: chunks }, (_, i) => `${name}:${i};${padding}`);
}

export function sseEvent(text: string): string {
  const event = { choices: [{ delta: { content: text } }] };
  return `data: ${JSON.stringify(event)}\n\n`;
}

/** Text of a chunk, whether it is a server-sent event or plain. */
export function textOf(data: Uint8Array): string {
  const text = new TextDecoder().decode(data);
  const PREFIX = "data: ";
  if (!text.startsWith(PREFIX)) {
    return text;
  }
  const event = JSON.parse(text.slice(PREFIX.length)) as {
    choices: { delta: { content: string } }[];
  };
  return event.choices[0].delta.content;
}
