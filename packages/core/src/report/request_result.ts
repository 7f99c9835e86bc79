import type { Millis } from "../clock.js";

/** How a request ended, as far as service levels are concerned. */
export interface RequestResult {
  readonly account: string;
  readonly pool: string;
  /** Time from the receipt of the request to its end. */
  readonly elapsedMs: Millis;
  /** Time from the receipt to the first data; undefined without any. */
  readonly firstTokenMs?: Millis | undefined;
  /** Mean time between the chunks of an answer of at least two. */
  readonly meanInterTokenMs?: Millis | undefined;
  /** Undefined when the caller left before the deadline. */
  readonly deadlineMet?: boolean | undefined;
  /** Undefined when no answer was begun and none was lost. */
  readonly whole?: boolean | undefined;
  /** Undefined when the caller left or made a mistake. */
  readonly available?: boolean | undefined;
  /** Result of the request, or reason of its last refusal. */
  readonly reason: string;
}
