import type { Bundle, RouterSettings, SidecarSettings } from "@anvildeal/core";
import {
  benchBundle,
  defaultAccounts,
  type PoolLimits,
} from "./bench_bundle.js";

/** Speed and cache size of the stand-in engines. */
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
  /** Puts a fault proxy between the routers and every sidecar. */
  readonly hasFaultProxies: boolean;
  /** Puts a proxy in front of the peer port of every router as well. */
  readonly hasRouterProxies?: boolean;
  /**
   * Delay in ms of the instance list of each failure domain once the fleet has
   * started. Routers of different domains then see lists of different ages.
   */
  readonly instanceListLagsMs: readonly number[];
  /** Exit code of the bench when SIGINT or SIGTERM ends it. */
  readonly signalExitCode?: number;
}

/**
 * With a batch of four and 20 ms per token an engine serves only about seven
 * requests/s, so that the load tool stays far below its own limit.
 */
export const DEFAULT_ENGINE: EngineOptions = {
  maxBatch: 4,
  prefillTokensPerS: 8000,
  decodeBaseMs: 12,
  decodePerRequestMs: 2,
  cacheTokens: 60_000,
};

/**
 * Limits of a pool that match its engines. A request in the queue of an engine
 * itself can neither be reordered nor placed elsewhere, so a sidecar sends no
 * more than one batch.
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
