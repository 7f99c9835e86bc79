/** Three of these fill the buffer, so that calls are paused. */
const WIDE_CHUNK_BYTES = 24 * 1024;

/** What an endpoint of the harness answers; the body of a call holds it. */
export interface AnswerSpec {
  readonly name: string;
  readonly chunks: number;
  readonly wide: boolean;
}

export function answerTexts({ chunks, name, wide }: AnswerSpec): string[] {
  const padding = wide ? ".".repeat(WIDE_CHUNK_BYTES) : "";
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
