import { z } from "zod";

/** Names of accounts, pools, services and failure domains. */
export const NameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9._-]{0,62}$/,
  "expected 1 to 63 characters of a-z, 0-9, '.', '_', '-'",
);

const sha256Hex = z.string().regex(
  /^[0-9a-f]{64}$/,
  "expected a SHA-256 digest in 64 hexadecimal digits",
);

const positiveInt = z.int().positive();

/** A route of a plain service and whether its calls may be repeated. */
export const RouteSchema = z.strictObject({
  service: NameSchema,
  method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "*"]),
  path_prefix: z.string().startsWith("/"),
  idempotent: z.boolean(),
});
export type Route = z.infer<typeof RouteSchema>;

/** A client account: hashes of its API keys, its limits and what it may use. */
export const AccountSchema = z.strictObject({
  name: NameSchema,
  key_hashes: z.array(sha256Hex).min(1).max(8),
  weight: z.number().positive().max(1000).default(1),
  priority: z.int().min(0).max(9).default(5),
  max_requests_per_s: z.number().positive().default(100),
  burst_requests: positiveInt.default(200),
  max_concurrent_requests: positiveInt.default(100),
  default_deadline_ms: positiveInt.default(120_000),
  pools: z.array(NameSchema).default([]),
  services: z.array(NameSchema).default([]),
  failure_domains: z.array(NameSchema).default([]),
  retry_allowed: z.boolean().default(true),
  hedge_allowed: z.boolean().default(false),
  routes: z.array(RouteSchema).default([]),
});
export type Account = z.infer<typeof AccountSchema>;

/** A set of endpoints that serve the same models or the same service. */
export const PoolSchema = z.strictObject({
  name: NameSchema,
  kind: z.enum(["model", "service"]),
  models: z.array(z.string().min(1).max(128)).default([]),
  dialect: z.enum(["openai", "openai_resumable", "plain"]).default(
    "openai_resumable",
  ),
  checks_fencing: z.boolean().default(false),
  load_bound_multiple: z.number().min(1).max(10).default(1.25),
  load_floor_tokens: positiveInt.default(16_384),
  max_concurrent_requests: positiveInt.default(8),
  max_queued_requests: positiveInt.default(64),
  cache_capacity_tokens: positiveInt.default(200_000),
  max_output_tokens: positiveInt.default(1024),
  drain_timeout_ms: positiveInt.default(600_000),
});
export type Pool = z.infer<typeof PoolSchema>;

/** A plain service that callers reach below `/services/<name>/`. */
export const ServiceSchema = z.strictObject({
  name: NameSchema,
  pool: NameSchema,
  routes: z.array(RouteSchema.omit({ service: true })).default([]),
});
export type Service = z.infer<typeof ServiceSchema>;

/** A service-level objective of one account or pool. */
export const ObjectiveSchema = z.strictObject({
  name: NameSchema,
  account: NameSchema.optional(),
  pool: NameSchema.optional(),
  indicator: z.enum([
    "first_token",
    "inter_token",
    "deadline_met",
    "whole_answers",
    "availability",
  ]),
  threshold_ms: z.number().positive().optional(),
  target: z.number().gt(0).lt(1),
  window_days: positiveInt.max(90).default(28),
});
export type Objective = z.infer<typeof ObjectiveSchema>;

/** The whole configuration that operators review, sign off and roll out. */
export const BundleSchema = z.strictObject({
  accounts: z.array(AccountSchema).max(20_000),
  pools: z.array(PoolSchema).min(1).max(256),
  services: z.array(ServiceSchema).max(1024).default([]),
  objectives: z.array(ObjectiveSchema).max(1024).default([]),
  /** Failure domains whose endpoints get no new requests. */
  evacuated_failure_domains: z.array(NameSchema).default([]),
});
export type Bundle = z.infer<typeof BundleSchema>;
