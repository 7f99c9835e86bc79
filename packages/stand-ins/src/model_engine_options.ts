/** Options of a model engine; each is also a flag of `stand_in_main`. */
export interface ModelEngineOptions {
  readonly port: number;
  /**
   * Largest number of requests that run at the same time; further requests
   * wait.
   */
  readonly maxBatch: number;
  readonly prefillTokensPerS: number;
  /**
   * Part of the time per output token that does not depend on the batch size.
   */
  readonly decodeBaseMs: number;
  /** Time that each request in the batch adds to the time per output token. */
  readonly decodePerRequestMs: number;
  /** Capacity of the prefix cache. */
  readonly cacheTokens: number;
  readonly cacheEventDelayMs: number;
  /** Fraction of cache events that are never reported, between 0 and 1. */
  readonly cacheEventLossShare: number;
  /** Time by which the reported load lags behind the actual load. */
  readonly loadReportLagMs: number;
  /** Speed of cache export and import. */
  readonly transferTokensPerS: number;
  /**
   * Whether the engine refuses an order with a lower fencing number than that
   * of an earlier accepted order.
   */
  readonly checksFencing: boolean;
  /** Seed of the random choice of lost cache events. */
  readonly seed: number;
}

export const DEFAULT_ENGINE_OPTIONS: ModelEngineOptions = {
  port: 0,
  maxBatch: 16,
  prefillTokensPerS: 20_000,
  decodeBaseMs: 10,
  decodePerRequestMs: 0.5,
  cacheTokens: 200_000,
  cacheEventDelayMs: 200,
  cacheEventLossShare: 0.02,
  loadReportLagMs: 500,
  transferTokensPerS: 200_000,
  checksFencing: true,
  seed: 1,
};
