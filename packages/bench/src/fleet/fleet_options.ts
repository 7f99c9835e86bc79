import type { Bundle, RouterSettings, SidecarSettings } from "@anvildeal/core";
import {
  benchBundle,
  defaultAccounts,
  type PoolLimits,
} from "./bench_bundle.js";

/** Speed and cache size of a stand-in engine. */
export interface EngineOptions {
  readonly maxBatch: number;
  readonly prefillTokensPerS: number;
  readonly decodeBaseMs: number;
  readonly decodePerRequestMs: number;
  readonly cacheTokens: number;
}

/** Size, settings and faults of a fleet. */
export interface FleetOptions {
  readonly seed: number;
  readonly routerCount: number;
  readonly engineCount: number;
  readonly serviceCount: number;
  readonly failureDomains: readonly string[];
  readonly bundle: Bundle;
  readonly engine: EngineOptions;
  readonly router: Partial<RouterSettings["router"]>;
  readonly sidecar: Partial<SidecarSettings["sidecar"]>;
  /**
   * Whether a proxy that can inject faults is put in front of every sidecar.
   */
  readonly hasFaultProxies: boolean;
  /** Whether a proxy is put in front of the peer port of every router. */
  readonly hasRouterProxies?: boolean;
  /**
   * One entry for each instance list to start: the time in ms until the list
   * shows a change. The delays apply only after the fleet has started. If there
   * are fewer lists than failure domains, several domains share a list.
   */
  readonly instanceListLagsMs: readonly number[];
  /** Exit code of the bench when SIGINT or SIGTERM ends it. */
  readonly signalExitCode?: number;
}

/**
 * With a batch of four and 20 ms per token, an engine serves only about seven
 * requests/s. The load tool therefore stays far below its own limit.
 */
export const DEFAULT_ENGINE: EngineOptions = {
  maxBatch: 4,
  prefillTokensPerS: 8000,
  decodeBaseMs: 12,
  decodePerRequestMs: 2,
  cacheTokens: 60_000,
};

/**
 * Returns the limits of a pool whose engines have the given options. A sidecar
 * sends at most one batch of requests to its engine. More requests would wait
 * in the engine's own queue, where they can neither be reordered nor placed
 * elsewhere.
 */
export function poolLimits(engine: EngineOptions): PoolLimits {
  return {
    cache_capacity_tokens: engine.cacheTokens,
    max_concurrent_requests: engine.maxBatch,
  };
}

/** Options for 3 routers and 12 engines in 3 failure domains, and 1 service. */
export function fleetOptions(
  seed: number,
  overrides: Partial<FleetOptions> = {},
): FleetOptions {
  return {
    seed,
    routerCount: 3,
    engineCount: 12,
    serviceCount: 1,
    failureDomains: ["domain-a", "domain-b", "domain-c"],
    bundle: benchBundle({
      accounts: defaultAccounts(),
      model: poolLimits(DEFAULT_ENGINE),
    }),
    engine: DEFAULT_ENGINE,
    router: {},
    sidecar: {},
    hasFaultProxies: false,
    instanceListLagsMs: [0],
    ...overrides,
  };
}
