import { describe, expect, it } from "vitest";
import type { ConfigError } from "./config_error.js";
import { checkSettings } from "./settings_check.js";

const SECRET = "fleet-secret-of-the-test";

function settingsWith(node: object, router: object = {}): unknown {
  return {
    role: "router",
    node: {
      id: "r-1",
      failure_domain: "west-1",
      peer_port: 7000,
      fleet_key: SECRET,
      ...node,
    },
    platform: {
      object_api_url: "http://127.0.0.1:1",
      instance_list_url: "http://127.0.0.1:2",
    },
    router: { http_port: 8000, admin_port: 9000, ...router },
  };
}

function issuesWith(value: unknown): ConfigError["issues"] {
  try {
    checkSettings(value, "router.toml");
    return [];
  } catch (error) {
    return (error as ConfigError).issues;
  }
}

describe("checkSettings", () => {
  it("accepts settings and fills in defaults", () => {
    const settings = checkSettings(settingsWith({}), "router.toml");
    expect(settings.node.log_level).toBe("info");
  });

  it("lists every error but never the fleet key", () => {
    const issues = issuesWith(
      settingsWith({ id: "?", fleet_key: 5 }, { http_port: -1, colour: "" }),
    );
    expect(issues.map(({ key }) => key).sort()).toEqual([
      "node.fleet_key",
      "node.id",
      "router.colour",
      "router.http_port",
    ]);
    const misplacedKeyIssues = issuesWith({ role: "sidecar", node: [SECRET] });
    expect(misplacedKeyIssues.length).toBeGreaterThan(0);
    expect(JSON.stringify([issues, misplacedKeyIssues])).not.toContain(SECRET);
  });

  it("rejects two listeners on one port, except on port 0", () => {
    const keys = issuesWith(
      settingsWith({ metrics_port: 9000 }, { http_port: 0 }),
    ).map(({ key }) => key);
    expect(keys).toEqual(["router.admin_port"]);
    expect(issuesWith(settingsWith({ peer_port: 0 }))).toEqual([]);
  });
});
