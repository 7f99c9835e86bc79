/** A call of an endpoint ended without a complete response. */
export class EngineError extends Error {
  override readonly name = "EngineError";
  /** Whether the endpoint may have run the call. */
  readonly mayHaveRun: boolean;

  constructor(message: string, mayHaveRun: boolean) {
    super(message);
    this.mayHaveRun = mayHaveRun;
  }
}
