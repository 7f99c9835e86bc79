import {
  type Clock,
  type LogEventName,
  type LogFields,
  TokenBucket,
} from "@anvildeal/core";
import type { Logger } from "./logger.js";

/** Lines of failures that a process writes in the mean, and at once. */
const LINES_PER_S = 2;
const LINES_AT_ONCE = 20;

/** Logs unexpected errors of the program, a limited number of them. */
export class FailureLog {
  readonly #logger: Logger;
  readonly #clock: Clock;
  readonly #bucket: TokenBucket;

  constructor(logger: Logger, clock: Clock) {
    this.#logger = logger;
    this.#clock = clock;
    this.#bucket = new TokenBucket(LINES_PER_S, LINES_AT_ONCE, clock.nowMs());
  }

  /** An event, or one of its effects, could not be handled. */
  logEvent(
    error: unknown,
    event: { readonly type: string },
    effect: { readonly type: string } | undefined,
  ): void {
    this.#log("event_failed", {
      event: event.type,
      effect: effect?.type,
      detail: detailOf(error),
    });
  }

  /**
   * Logs errors that nothing else handles, instead of ending the process: its
   * calls have nothing to do with them. Call when the process has started.
   */
  logUnhandledErrors(): void {
    const log = (error: unknown) =>
      this.#log("unexpected_error", { detail: detailOf(error) });
    process.on("uncaughtException", log);
    process.on("unhandledRejection", log);
  }

  #log(event: LogEventName, fields: LogFields): void {
    if (this.#bucket.tryConsume(1, this.#clock.nowMs())) {
      this.#logger.log(event, fields);
    }
  }
}

function detailOf(error: unknown): string {
  return error instanceof Error ? error.stack ?? error.message : String(error);
}
