import { ConfigError, type ConfigIssue } from "./config_error.js";
import { toConfigIssues } from "./to_config_issues.js";
import { type Settings, SettingsSchema } from "./settings_schema.js";

/**
 * Checks the parsed settings file of a process.
 *
 * Throws {@link ConfigError} that lists every error found, not only the first.
 */
export function checkSettings(value: unknown, file: string): Settings {
  const parsed = SettingsSchema.safeParse(value);
  if (!parsed.success) {
    throw new ConfigError(toConfigIssues(parsed.error, value, file));
  }
  const issues = findPortConflicts(parsed.data, file);
  if (issues.length > 0) {
    throw new ConfigError(issues);
  }
  return parsed.data;
}

/**
 * Finds ports of two listeners, which would fail only at the second `listen`.
 */
function findPortConflicts(settings: Settings, file: string): ConfigIssue[] {
  const ports: [string, number][] = [
    ["node.peer_port", settings.node.peer_port],
    ["node.metrics_port", settings.node.metrics_port],
  ];
  if (settings.role === "router") {
    ports.push(["router.http_port", settings.router.http_port]);
    ports.push(["router.admin_port", settings.router.admin_port]);
  }
  return ports.flatMap(([key, port], index) => {
    const firstIndex = ports.findIndex(([, other]) => other === port);
    return port === 0 || firstIndex === index ? [] : [{
      file,
      key,
      found: String(port),
      allowed: `must differ from ${ports[firstIndex][0]}`,
    }];
  });
}
