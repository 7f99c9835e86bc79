import { type Bundle, BundleSchema } from "@anvildeal/core";
import type { AccountWeight } from "../load/workload.js";
import { sha256Hex } from "./config_writer.js";

export const MODEL_NAME = "bench-model";
export const SERVICE_NAME = "approvals";
export const MODEL_POOL = "models";
export const SERVICE_POOL = "approvals";

/** Value for account limits that no load of the bench reaches. */
const UNLIMITED = 100_000;

export interface PoolLimits {
  readonly load_bound_multiple?: number;
  readonly load_floor_tokens?: number;
  readonly max_concurrent_requests?: number;
  readonly max_queued_requests?: number;
  readonly cache_capacity_tokens?: number;
  readonly drain_timeout_ms?: number;
}

export interface BundleOptions {
  readonly accounts: readonly AccountWeight[];
  readonly model?: PoolLimits;
}

/** The API key that the load tool uses for an account. */
export function clientKey(account: string): string {
  return `bench-key-of-${account}`;
}

export function clientKeys(
  accounts: readonly AccountWeight[],
): Record<string, string> {
  return Object.fromEntries(
    accounts.map(({ name }) => [name, clientKey(name)]),
  );
}

/**
 * Returns accounts with unequal traffic, a few of them large. The default is
 * the present number of accounts, ten.
 */
export function defaultAccounts(count = 10): AccountWeight[] {
  return Array.from({ length: count }, (_, i) => ({
    name: `account-${String(i).padStart(2, "0")}`,
    // Zipf's law with exponent 0.8: the largest of ten accounts has about a
    // quarter of the traffic.
    weight: 1 / (i + 1) ** 0.8,
  }));
}

/** Configuration with one model pool and one pool of plain services. */
export function benchBundle(options: BundleOptions): Bundle {
  return BundleSchema.parse({
    accounts: options.accounts.map(({ name }) => ({
      name,
      key_hashes: [sha256Hex(clientKey(name))],
      pools: [MODEL_POOL, SERVICE_POOL],
      services: [SERVICE_NAME],
      max_requests_per_s: UNLIMITED,
      burst_requests: UNLIMITED,
      max_concurrent_requests: UNLIMITED,
    })),
    pools: [
      {
        name: MODEL_POOL,
        kind: "model",
        models: [MODEL_NAME],
        ...options.model,
      },
      {
        name: SERVICE_POOL,
        kind: "service",
        dialect: "plain",
        max_concurrent_requests: 64,
        max_queued_requests: 256,
      },
    ],
    services: [
      {
        name: SERVICE_NAME,
        pool: SERVICE_POOL,
        routes: [
          { method: "POST", path_prefix: "/", idempotent: false },
          { method: "GET", path_prefix: "/", idempotent: true },
        ],
      },
    ],
  });
}
