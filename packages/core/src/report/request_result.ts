import type { Millis } from "../clock.js";

/** Result of a request, as the service-level objectives evaluate it. */
export interface RequestResult {
  readonly account: string;
  readonly pool: string;
  /** Time from the receipt of the request to its end. */
  readonly elapsedMs: Millis;
  /** Time from the receipt to the first data; undefined without data. */
  readonly firstTokenMs?: Millis | undefined;
  /** Mean time between the chunks of an answer of at least two chunks. */
  readonly meanInterTokenMs?: Millis | undefined;
  /**
   * Whether the answer was complete by the deadline; false for an error with a
   * status of at least 500. Undefined if the caller disconnected or received an
   * error with a lower status.
   */
  readonly deadlineMet?: boolean | undefined;
  /**
   * Whether the answer was complete. False if an error ended an answer that had
   * started, or left unknown whether the call ran; otherwise undefined.
   */
  readonly whole?: boolean | undefined;
  /**
   * Whether the request was answered; false for an error with a status of at
   * least 500. Undefined if the caller disconnected or received an error with a
   * lower status.
   */
  readonly available?: boolean | undefined;
  /** Result of the request, or reason of its last refusal. */
  readonly reason: string;
}
