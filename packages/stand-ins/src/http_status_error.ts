/** An error that is answered with its own HTTP status instead of 500. */
export class HttpStatusError extends Error {
  override readonly name = "HttpStatusError";
  readonly status: number;

  constructor(status: number, message: string) {
    super(message);
    this.status = status;
  }
}
