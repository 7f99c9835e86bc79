const LF = 0x0a;
const CR = 0x0d;
const COLON = 0x3a;

/**
 * Counts the events of a server-sent event stream and tells whether it has ended
 * inside one. A blank line ends an event; lines that begin with a colon are
 * comments.
 */
export class SseEventTracker {
  #eventHasLines = false;
  #lineHasBytes = false;
  #isComment = false;
  #completeEvents = 0;

  /** Number of complete events so far, of all endpoints together. */
  get completeEvents(): number {
    return this.#completeEvents;
  }

  /** Whether the bytes so far end inside an event. */
  get insideEvent(): boolean {
    return this.#eventHasLines || this.#lineHasBytes && !this.#isComment;
  }

  push(chunk: Buffer): void {
    for (const byte of chunk) {
      this.#pushByte(byte);
    }
  }

  /** Forgets what came before; another endpoint begins with a new event. */
  reset(): void {
    this.#eventHasLines = false;
    this.#lineHasBytes = false;
    this.#isComment = false;
  }

  #pushByte(byte: number): void {
    if (byte === LF) {
      this.#endLine();
    } else if (byte !== CR) {
      this.#isComment = this.#lineHasBytes ? this.#isComment : byte === COLON;
      this.#lineHasBytes = true;
    }
  }

  #endLine(): void {
    if (!this.#lineHasBytes) {
      this.#completeEvents += this.#eventHasLines ? 1 : 0;
      this.#eventHasLines = false;
    } else if (!this.#isComment) {
      this.#eventHasLines = true;
    }
    this.#lineHasBytes = false;
    this.#isComment = false;
  }
}
