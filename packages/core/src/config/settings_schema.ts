import { z } from "zod";

const address = z.string().regex(
  /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/,
  'expected an IP address and a port, such as "127.0.0.1:7000"',
);
const url = z.string().regex(
  /^https?:\/\/[^\s/]+$/,
  'expected a URL without a path, such as "http://127.0.0.1:8080"',
);
const port = z.int().min(0).max(65_535);

const nodeSection = z.strictObject({
  id: z.string().regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    "expected 1 to 63 characters of a-z, 0-9, '.', '_', '-'",
  ),
  failure_domain: z.string().min(1).max(63),
  region: z.string().min(1).max(63).default("default"),
  listen_host: z.string().default("127.0.0.1"),
  peer_port: port,
  /** Shared by all processes of the fleet; authenticates their connections. */
  fleet_key: z.string().min(16, "expected at least 16 characters"),
  log_level: z.enum(["error", "warn", "info", "debug"]).default("info"),
  metrics_port: port.default(0),
  seed: z.int().nonnegative().optional(),
});

const platformSection = z.strictObject({
  object_api_url: url,
  instance_list_url: url,
  request_timeout_ms: z.int().positive().default(1000),
});

/** Settings of `anvildeald` in the role of a router. */
export const RouterSettingsSchema = z.strictObject({
  role: z.literal("router"),
  node: nodeSection,
  platform: platformSection,
  router: z.strictObject({
    http_port: port,
    admin_port: port,
    max_body_bytes: z.int().positive().default(8 * 1024 * 1024),
    max_header_bytes: z.int().positive().default(16 * 1024),
    /** Bound of what is held for callers; by default a part of the machine's memory. */
    caller_memory_bytes: z.int().positive().optional(),
    /** Memory of the machine; only used for the default of `caller_memory_bytes`. */
    machine_memory_bytes: z.int().positive().optional(),
    /** Bound of the connections at the port for callers; none by default. */
    max_caller_connections: z.int().positive().optional(),
    body_timeout_ms: z.int().positive().default(10_000),
    probe_count: z.int().min(1).max(8).default(3),
    probe_fresh_ms: z.int().nonnegative().default(250),
    probe_timeout_ms: z.int().positive().default(100),
    placement: z.enum([
      "policy",
      "random",
      "least_loaded",
      "chat_hash",
      "oracle",
    ]).default("policy"),
    /** Peers to query if the instance list cannot be reached. */
    seed_peers: z.array(address).default([]),
    watch_config: z.enum(["elected", "always"]).default("elected"),
    retries: z.enum(["policy", "plain"]).default("policy"),
    silence: z.enum(["policy", "tcp"]).default("policy"),
  }),
});
export type RouterSettings = z.infer<typeof RouterSettingsSchema>;

/** Settings of `anvildeald` in the role of a sidecar. */
export const SidecarSettingsSchema = z.strictObject({
  role: z.literal("sidecar"),
  node: nodeSection,
  platform: platformSection,
  sidecar: z.strictObject({
    endpoint_id: z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/),
    endpoint_url: url,
    pool: z.string().min(1).max(63),
    /**
     * Address at which other sidecars reach this one, if not the listen
     * address.
     */
    advertised_address: address.optional(),
    stream_buffer_bytes: z.int().positive().default(1024 * 1024),
    admission: z.enum(["policy", "first_come"]).default("policy"),
    stop: z.enum(["policy", "at_once"]).default("policy"),
  }),
});
export type SidecarSettings = z.infer<typeof SidecarSettingsSchema>;

/** Settings of `anvildeald`; the role decides which section is needed. */
export const SettingsSchema = z.discriminatedUnion("role", [
  RouterSettingsSchema,
  SidecarSettingsSchema,
]);
export type Settings = z.infer<typeof SettingsSchema>;
