/** An error that is answered with an HTTP status instead of a 500. */
export class HttpStatusError extends Error {
  override readonly name = "HttpStatusError";
  readonly status: number;

  constructor(status: number, message: string) {
    super(message);
    this.status = status;
  }
}
