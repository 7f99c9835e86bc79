/** An order could not be given, or its effect is not known. */
export class OrderError extends Error {
  override readonly name = "OrderError";
  readonly code: "lease_lost" | "store_failed" | "unreachable";

  constructor(code: OrderError["code"], message: string, cause?: unknown) {
    super(message, { cause });
    this.code = code;
  }
}
