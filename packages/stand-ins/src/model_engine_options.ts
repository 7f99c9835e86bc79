export interface ModelEngineOptions {
  readonly port: number;
  readonly maxBatch: number;
  readonly prefillTokensPerS: number;
  /** Time per output token with an otherwise empty batch. */
  readonly decodeBaseMs: number;
  /** Added to the time per output token by each request in the batch. */
  readonly decodePerRequestMs: number;
  readonly cacheTokens: number;
  readonly cacheEventDelayMs: number;
  /** Share of cache events that are never reported, between 0 and 1. */
  readonly cacheEventLossShare: number;
  readonly loadReportLagMs: number;
  /** Speed of cache export and import. */
  readonly transferTokensPerS: number;
  /** Whether orders with an old fencing number are refused. */
  readonly checksFencing: boolean;
  /** Seed of the choice of lost cache events. */
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
