import { type Bundle, BundleSchema } from "../../config/index.js";

const DEADLINE_MS = 600_000;
export const MODEL = "m";
export const SERVICE = "approvals";
const ACCOUNT = "wiki";
export const API_KEY_HASH = "0".repeat(64);

/**
 * Test configuration with one pool that serves a model and a plain HTTP
 * service.
 */
export const BUNDLE: Bundle = BundleSchema.parse({
  accounts: [{
    name: ACCOUNT,
    key_hashes: [API_KEY_HASH],
    max_requests_per_s: 1000,
    burst_requests: 1000,
    default_deadline_ms: DEADLINE_MS,
  }],
  pools: [{
    name: "p",
    kind: "model",
    models: [MODEL],
    max_concurrent_requests: 2,
    max_queued_requests: 3,
    load_floor_tokens: 400,
    max_output_tokens: 50,
  }],
  services: [{ name: SERVICE, pool: "p" }],
});
