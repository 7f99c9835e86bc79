// Configuration of a small deployment, as its operator writes it.

export const HOST = "site.example";
export const KEY = "key-of-tenant-one";
export const TENANT = "tenant-one";

export function route(name, kind, service, fields = {}) {
  return {
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    route_kind: kind,
    timeout_ms: 5000,
    target_latency_ms: 500,
    priority: 1,
    service,
    max_attempts: 1,
    public: false,
    sticky: false,
    resumable: false,
    ...fields,
  };
}

export function siteConfig(version, fields = {}) {
  return {
    version,
    routes: [
      route("read", "idempotent", "app", { max_attempts: 2 }),
      route("write", "non_idempotent", "app"),
      route("chat", "streaming", "pool", { sticky: true, gap_aim_ms: 400 }),
      route("resume", "streaming", "pool", {
        sticky: true,
        resumable: true,
        max_attempts: 2,
        gap_aim_ms: 400,
      }),
    ],
    services: [
      { name: "app", health_path: "/health", max_conns: 110 },
      {
        name: "pool",
        health_path: "/health",
        max_conns: 370,
        engine: { slots: 64, kv_capacity_tokens: 589_809, backups: true },
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: TENANT, api_keys: [KEY], priority: 1 }],
    ...fields,
  };
}
