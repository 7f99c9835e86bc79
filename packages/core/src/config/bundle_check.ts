import type { z } from "zod";
import { type Bundle, BundleSchema } from "./bundle_schema.js";
import { ConfigError, type ConfigIssue } from "./config_error.js";

/** Longest excerpt of a rejected value in an error message. */
const MAX_EXCERPT_CHARS = 60;

/** Keys whose values are never repeated in an error message. */
const SECRET_KEY = /key|secret|token_hash/;

/**
 * Checks a parsed bundle as a whole: schema, references and duplicates.
 *
 * Throws {@link ConfigError} with every mistake found, not only the first.
 */
export function checkBundle(value: unknown, file: string): Bundle {
  const parsed = BundleSchema.safeParse(value);
  if (!parsed.success) {
    throw new ConfigError(issuesOf(parsed.error, value, file));
  }
  const issues = [
    ...findDuplicates(parsed.data, file),
    ...findDanglingReferences(parsed.data, file),
    ...findInconsistencies(parsed.data, file),
  ];
  if (issues.length > 0) {
    throw new ConfigError(issues);
  }
  return parsed.data;
}

/** Turns the issues of a zod error into lines with file, key and value. */
export function issuesOf(
  error: z.ZodError,
  value: unknown,
  file: string,
): ConfigIssue[] {
  return error.issues.map((issue) => {
    const key = issue.path.map(String).join(".");
    return {
      file,
      key: key === "" ? "(top level)" : key,
      found: excerptAt(value, issue.path, key),
      allowed: issue.message,
    };
  });
}

function excerptAt(
  value: unknown,
  path: readonly PropertyKey[],
  key: string,
): string {
  let current: unknown = value;
  for (const step of path) {
    if (current === null || typeof current !== "object") {
      return "nothing";
    }
    current = (current as Record<PropertyKey, unknown>)[step];
  }
  if (current === undefined) {
    return "nothing";
  }
  if (SECRET_KEY.test(key)) {
    return "a value that is not shown";
  }
  return (JSON.stringify(current) ?? String(current)).slice(
    0,
    MAX_EXCERPT_CHARS,
  );
}

function findDuplicates(bundle: Bundle, file: string): ConfigIssue[] {
  const issues: ConfigIssue[] = [];
  const check = (kind: string, field: string, values: string[]) => {
    const seen = new Map<string, number>();
    values.forEach((value, index) => {
      const first = seen.get(value);
      if (first === undefined) {
        seen.set(value, index);
        return;
      }
      issues.push({
        file,
        key: `${kind}.${index}.${field}`,
        found: SECRET_KEY.test(field) ? "a duplicate" : JSON.stringify(value),
        allowed: `must differ from ${kind}.${first}.${field}`,
      });
    });
  };
  check("accounts", "name", bundle.accounts.map((account) => account.name));
  check("pools", "name", bundle.pools.map((pool) => pool.name));
  check("services", "name", bundle.services.map((service) => service.name));
  check("objectives", "name", bundle.objectives.map((slo) => slo.name));
  check(
    "accounts",
    "key_hashes",
    bundle.accounts.flatMap((account) => account.key_hashes),
  );
  check("pools", "models", bundle.pools.flatMap((pool) => pool.models));
  return issues;
}

function findDanglingReferences(bundle: Bundle, file: string): ConfigIssue[] {
  const issues: ConfigIssue[] = [];
  const pools = new Set(bundle.pools.map((pool) => pool.name));
  const services = new Set(bundle.services.map((service) => service.name));
  const accounts = new Set(bundle.accounts.map((account) => account.name));
  const need = (
    names: Set<string>,
    name: string,
    key: string,
    kind: string,
  ) => {
    if (!names.has(name)) {
      issues.push({
        file,
        key,
        found: JSON.stringify(name),
        allowed: `must name one of the ${kind}: ${summarize(names)}`,
      });
    }
  };
  bundle.accounts.forEach((account, a) => {
    account.pools.forEach((name, i) =>
      need(pools, name, `accounts.${a}.pools.${i}`, "pools")
    );
    account.services.forEach((name, i) =>
      need(services, name, `accounts.${a}.services.${i}`, "services")
    );
    account.routes.forEach((route, i) =>
      need(
        services,
        route.service,
        `accounts.${a}.routes.${i}.service`,
        "services",
      )
    );
  });
  bundle.services.forEach((service, i) =>
    need(pools, service.pool, `services.${i}.pool`, "pools")
  );
  bundle.objectives.forEach((slo, i) => {
    if (slo.account !== undefined) {
      need(accounts, slo.account, `objectives.${i}.account`, "accounts");
    }
    if (slo.pool !== undefined) {
      need(pools, slo.pool, `objectives.${i}.pool`, "pools");
    }
  });
  return issues;
}

function findInconsistencies(bundle: Bundle, file: string): ConfigIssue[] {
  const issues: ConfigIssue[] = [];
  const kinds = new Map(bundle.pools.map((pool) => [pool.name, pool.kind]));
  bundle.pools.forEach((pool, i) => {
    if (pool.kind === "model" && pool.models.length === 0) {
      issues.push({
        file,
        key: `pools.${i}.models`,
        found: "no model",
        allowed: "a pool of kind 'model' must name at least one model",
      });
    }
  });
  bundle.services.forEach((service, i) => {
    if (kinds.get(service.pool) === "model") {
      issues.push({
        file,
        key: `services.${i}.pool`,
        found: JSON.stringify(service.pool),
        allowed: "must name a pool of kind 'service'",
      });
    }
  });
  return issues;
}

function summarize(names: Set<string>): string {
  const MAX_NAMES = 8;
  const listed = [...names].slice(0, MAX_NAMES).join(", ");
  return names.size > MAX_NAMES ? `${listed}, ...` : listed || "(none)";
}
