/** A call of an endpoint did not give a whole answer. */
export class EngineError extends Error {
  override readonly name = "EngineError";
  /** Whether the endpoint may have done the work. */
  readonly mayHaveRun: boolean;

  constructor(message: string, mayHaveRun: boolean) {
    super(message);
    this.mayHaveRun = mayHaveRun;
  }
}
