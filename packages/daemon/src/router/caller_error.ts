import type { ErrorAnswer } from "@anvildeal/core";

/** A request was invalid and therefore not run; `answer` is the response. */
export class CallerError extends Error {
  override readonly name = "CallerError";
  readonly answer: ErrorAnswer;

  constructor(status: number, code: string, message: string) {
    super(message);
    this.answer = {
      status,
      code,
      errorType: "invalid_request_error",
      message,
      outcome: "not-run",
    };
  }
}
