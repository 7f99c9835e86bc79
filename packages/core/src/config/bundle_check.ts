import type { z } from "zod";
import {
  AccountSchema,
  type Bundle,
  BundleSchema,
  ObjectiveSchema,
  PoolSchema,
  ServiceSchema,
} from "./bundle_schema.js";
import { BUNDLE_KINDS, type BundleKind } from "./bundle_diff.js";
import { findRuleIssues } from "./bundle_rules.js";
import { ConfigError, type ConfigIssue } from "./config_error.js";
import { toConfigIssues } from "./schema_issues.js";

/** One parsed file of a bundle that is spread over several files. */
export interface BundleFile {
  readonly file: string;
  readonly bundle: unknown;
}

/** Where an item of the bundle was written. */
export interface ItemPlace {
  readonly file: string;
  /** Path of the item in its file, for example `accounts.0`. */
  readonly key: string;
}

/**
 * An item without the values that do not match its schema, so that mistakes
 * in other keys are found at the same time.
 */
export type LooseItem<T> = {
  readonly [K in keyof T]?: NonNullable<T[K]> extends readonly (infer E)[]
    ? readonly (E | undefined)[]
    : T[K];
};

export interface PlacedItem<T> extends ItemPlace {
  readonly item: LooseItem<T>;
}

export type PlacedItems = {
  readonly [K in BundleKind]: readonly PlacedItem<Bundle[K][number]>[];
};

/**
 * Checks a parsed bundle as a whole: schema, references, limits, duplicates.
 *
 * Throws {@link ConfigError} with every mistake found, not only the first.
 */
export function checkBundle(value: unknown, file: string): Bundle {
  return checkBundleFiles([{ file, bundle: value }]);
}

/** Like {@link checkBundle} for a bundle that is spread over files. */
export function checkBundleFiles(files: readonly BundleFile[]): Bundle {
  const merged = mergeFiles(files);
  const parsed = BundleSchema.safeParse(merged.bundle);
  const issues = [...merged.issues];
  if (!parsed.success) {
    const placed = toConfigIssues(parsed.error, merged.bundle, "(bundle)");
    issues.push(...placed.map((issue) => relocate(issue, merged, files)));
  }
  const names = namesOf(merged.bundle);
  issues.push(...findRuleIssues(placeItems(merged, parsed.data), names));
  if (issues.length > 0 || !parsed.success) {
    throw new ConfigError(issues);
  }
  return parsed.data;
}

interface MergedBundle {
  readonly bundle: Record<BundleKind, unknown[]>;
  readonly places: Record<BundleKind, ItemPlace[]>;
  readonly issues: ConfigIssue[];
}

function mergeFiles(files: readonly BundleFile[]): MergedBundle {
  const merged: MergedBundle = {
    bundle: { accounts: [], pools: [], services: [], objectives: [] },
    places: { accounts: [], pools: [], services: [], objectives: [] },
    issues: [],
  };
  for (const { file, bundle } of files) {
    if (bundle === null || typeof bundle !== "object") {
      merged.issues.push(
        topLevelIssue(file, "(top level)", bundle, "must be a table of keys"),
      );
      continue;
    }
    for (const [key, items] of Object.entries(bundle)) {
      mergeKey(merged, file, key, items);
    }
  }
  return merged;
}

function mergeKey(
  merged: MergedBundle,
  file: string,
  key: string,
  items: unknown,
): void {
  const kind = BUNDLE_KINDS.find((kind) => kind === key);
  if (kind === undefined) {
    const allowed = `is not a known key; allowed: ${BUNDLE_KINDS.join(", ")}`;
    merged.issues.push(topLevelIssue(file, key, items, allowed));
    return;
  }
  if (!Array.isArray(items)) {
    merged.issues.push(
      topLevelIssue(file, key, items, `must be a list, written [[${key}]]`),
    );
    return;
  }
  items.forEach((item, index) => {
    merged.bundle[kind].push(item);
    merged.places[kind].push({ file, key: `${kind}.${index}` });
  });
}

function topLevelIssue(
  file: string,
  key: string,
  value: unknown,
  allowed: string,
): ConfigIssue {
  const found = Array.isArray(value)
    ? "a list"
    : `a value of type ${typeof value}`;
  return { file, key, found, allowed };
}

/** Turns the place of an issue in the merged bundle into that in its file. */
function relocate(
  issue: ConfigIssue,
  merged: MergedBundle,
  files: readonly BundleFile[],
): ConfigIssue {
  const [kind, index, ...rest] = issue.key.split(".");
  const places = merged.places[kind as BundleKind] as ItemPlace[] | undefined;
  const place = places?.[Number(index)];
  if (place === undefined) {
    const file = files.map((source) => source.file).join(", ");
    return { ...issue, file: file || "(no file)" };
  }
  const key = [place.key, ...rest].join(".");
  return { ...issue, file: place.file, key };
}

/** Names of all items, also of those with mistakes in other keys. */
function namesOf(
  bundle: Record<BundleKind, unknown[]>,
): Record<BundleKind, Set<string>> {
  const names = (kind: BundleKind) =>
    new Set(
      bundle[kind]
        .map((item) => (item as { name?: unknown } | null)?.name)
        .filter((name) => typeof name === "string"),
    );
  return {
    accounts: names("accounts"),
    pools: names("pools"),
    services: names("services"),
    objectives: names("objectives"),
  };
}

function placeItems(
  merged: MergedBundle,
  valid: Bundle | undefined,
): PlacedItems {
  const place = <K extends BundleKind>(
    kind: K,
    schema: z.ZodType<Bundle[K][number]>,
  ) =>
    merged.places[kind].map((place, index) => ({
      ...place,
      item: valid === undefined
        ? salvage(merged.bundle[kind][index], schema)
        : valid[kind][index] as LooseItem<Bundle[K][number]>,
    }));
  return {
    accounts: place("accounts", AccountSchema),
    pools: place("pools", PoolSchema),
    services: place("services", ServiceSchema),
    objectives: place("objectives", ObjectiveSchema),
  };
}

/** The item with defaults, or what is left of it without invalid values. */
function salvage<T>(item: unknown, schema: z.ZodType<T>): LooseItem<T> {
  const parsed = schema.safeParse(item);
  if (parsed.success) {
    return parsed.data as LooseItem<T>;
  }
  if (item === null || typeof item !== "object") {
    return {};
  }
  const rest: Record<PropertyKey, unknown> = { ...item };
  for (const { path } of parsed.error.issues) {
    const [key, index] = path;
    const list = rest[key];
    if (typeof index === "number" && Array.isArray(list)) {
      rest[key] = list.with(index, undefined);
    } else if (key !== undefined) {
      delete rest[key];
    }
  }
  return rest as LooseItem<T>;
}
