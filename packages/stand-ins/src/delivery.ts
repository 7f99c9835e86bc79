/** Time after which a connection that breaks can no longer lose data. */
const LOSS_MS = 500;

/** Whether the client of a proxied connection has got what the target sent. */
export class Delivery {
  /** Number of bytes that the target had sent on the connection by then. */
  readonly bytes: number;
  #passedOnMs: number | undefined;
  #isLost = false;

  constructor(bytes: number) {
    this.bytes = bytes;
  }

  /** When the data was passed on; undefined if it was not, or was lost then. */
  get passedOnMs(): number | undefined {
    return this.#isLost ? undefined : this.#passedOnMs;
  }

  /** Whether the client can no longer fail to read the data. */
  isOver(nowMs: number): boolean {
    return this.#isLost ||
      this.#passedOnMs !== undefined && nowMs - this.#passedOnMs > LOSS_MS;
  }

  recordPassedOn(nowMs: number): void {
    this.#passedOnMs ??= nowMs;
  }

  /**
   * Records that the connection broke. A client that closes a connection with unread
   * data resets it.
   */
  recordBreak(nowMs: number): void {
    this.#isLost ||= !this.isOver(nowMs);
  }
}
