/** Parses a server-sent event stream and returns the data of its events. */
export class SseReader {
  readonly #decoder = new TextDecoder();
  #buffered = "";

  /** Returns the non-empty data of the events that `piece` completes. */
  push(piece: Uint8Array): string[] {
    this.#buffered += this.#decoder.decode(piece, { stream: true });
    const events = this.#buffered.split("\n\n");
    this.#buffered = events.pop() ?? "";
    return events.map(dataOf).filter((data) => data !== "");
  }
}

function dataOf(event: string): string {
  return event.split("\n")
    .filter((line) => line.startsWith("data:"))
    .map((line) => line.slice(5).trimStart())
    .join("\n");
}
