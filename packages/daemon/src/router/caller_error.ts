import type { ErrorAnswer, Millis } from "@anvildeal/core";

/** A request was invalid and therefore not run; `answer` is the response. */
export class CallerError extends Error {
  override readonly name = "CallerError";
  readonly answer: ErrorAnswer;

  constructor(
    status: number,
    code: string,
    message: string,
    retryAfterMs?: Millis,
  ) {
    super(message);
    this.answer = {
      status,
      code,
      errorType: status >= 500 ? "server_error" : "invalid_request_error",
      message,
      outcome: "not-run",
      retryAfterMs,
    };
  }
}
