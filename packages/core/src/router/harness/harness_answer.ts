/**
 * Chunk size at which three chunks fill the stream buffer, so that the call is
 * paused.
 */
const LARGE_CHUNK_BYTES = 24 * 1024;

/**
 * Description of the answer that a simulated endpoint sends; the request body
 * contains it as JSON.
 */
export interface AnswerSpec {
  /** Prefix of each chunk's text, so that answers of different calls differ. */
  readonly name: string;
  readonly chunks: number;
  /** Whether each chunk contains {@link LARGE_CHUNK_BYTES} bytes of padding. */
  readonly large: boolean;
}

/**
 * Returns the texts of an answer's chunks. They differ between calls and
 * between the chunks of a call.
 */
export function answerTexts({ chunks, name, large }: AnswerSpec): string[] {
  const padding = large ? ".".repeat(LARGE_CHUNK_BYTES) : "";
  return Array.from({ length: chunks }, (_, i) => `${name}:${i};${padding}`);
}

export function sseEvent(text: string): string {
  const event = { choices: [{ delta: { content: text } }] };
  return `data: ${JSON.stringify(event)}\n\n`;
}

/**
 * Returns the text of a chunk, which is either a server-sent event or plain
 * text.
 */
export function chunkTextOf(data: Uint8Array): string {
  const text = new TextDecoder().decode(data);
  const DATA_PREFIX = "data: ";
  if (!text.startsWith(DATA_PREFIX)) {
    return text;
  }
  const event = JSON.parse(text.slice(DATA_PREFIX.length)) as {
    choices: { delta: { content: string } }[];
  };
  return event.choices[0].delta.content;
}
