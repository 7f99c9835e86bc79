/** Splits a server-sent event stream into the data of its events. */
export class SseReader {
  readonly #decoder = new TextDecoder();
  #rest = "";

  /** Returns the data of the events that this piece completes. */
  push(piece: Uint8Array): string[] {
    this.#rest += this.#decoder.decode(piece, { stream: true });
    const events = this.#rest.split("\n\n");
    this.#rest = events.pop() ?? "";
    return events.map(dataOf).filter((data) => data !== "");
  }
}

function dataOf(event: string): string {
  return event.split("\n")
    .filter((line) => line.startsWith("data:"))
    .map((line) => line.slice(5).trimStart())
    .join("\n");
}
