/**
 * An order to an endpoint, such as to drain or to load a model, was not sent,
 * or its outcome is unknown.
 */
export class OrderError extends Error {
  override readonly name = "OrderError";
  /** `unreachable` means that the order may have taken effect. */
  readonly code: "lease_lost" | "store_failed" | "unreachable";

  constructor(code: OrderError["code"], message: string, cause?: unknown) {
    super(message, { cause });
    this.code = code;
  }
}
