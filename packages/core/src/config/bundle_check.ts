import type { z } from "zod";
import {
  AccountSchema,
  type Bundle,
  BundleSchema,
  ObjectiveSchema,
  PoolSchema,
  ServiceSchema,
} from "./bundle_schema.js";
import {
  type BundleKind,
  CHANGE_KINDS,
  type ChangeKind,
} from "./bundle_diff.js";
import { findRuleIssues } from "./bundle_rules.js";
import { ConfigError, type ConfigIssue } from "./config_error.js";
import { toConfigIssues } from "./to_config_issues.js";

/** One parsed file of a bundle that consists of several files. */
export interface BundleFile {
  readonly file: string;
  readonly bundle: unknown;
}

/** File and key at which an item of the bundle is defined. */
export interface ItemLocation {
  readonly file: string;
  /** Path of the item in its file, for example `accounts.0`. */
  readonly key: string;
}

/**
 * An item without the values that do not match its schema, so that errors in
 * other keys can be reported at the same time.
 */
export type PartialItem<T> = {
  readonly [K in keyof T]?: NonNullable<T[K]> extends readonly (infer E)[]
    ? readonly (E | undefined)[]
    : T[K];
};

export interface LocatedItem<T> extends ItemLocation {
  readonly item: PartialItem<T>;
}

export type LocatedItems = {
  readonly [K in BundleKind]: readonly LocatedItem<Bundle[K][number]>[];
};

/** An item of a valid bundle and where it is defined. */
export interface Located<T> extends ItemLocation {
  readonly item: T;
}

/** The items of a valid bundle by kind, and where each is defined. */
export type LocatedBundle = {
  readonly [K in BundleKind]: readonly Located<Bundle[K][number]>[];
};

/**
 * Checks a parsed bundle as a whole: schema, references, limits, duplicates.
 *
 * Throws {@link ConfigError} that lists every error found, not only the first.
 */
export function checkBundle(value: unknown, file: string): Bundle {
  return checkBundleFiles([{ file, bundle: value }]);
}

/** Like {@link checkBundle}, for a bundle that consists of several files. */
export function checkBundleFiles(files: readonly BundleFile[]): Bundle {
  return checkAndLocateBundle(files).bundle;
}

/** Like {@link checkBundleFiles}, and returns where each item is defined. */
export function checkAndLocateBundle(
  files: readonly BundleFile[],
): { readonly bundle: Bundle; readonly items: LocatedBundle } {
  const merged = mergeFiles(files);
  const parsed = BundleSchema.safeParse(merged.bundle);
  const issues = [...merged.issues];
  if (!parsed.success) {
    const schemaIssues = toConfigIssues(
      parsed.error,
      merged.bundle,
      "(bundle)",
    );
    issues.push(
      ...schemaIssues.map((issue) => locateInFile(issue, merged, files)),
    );
  }
  const names = namesOf(merged.bundle);
  issues.push(...findRuleIssues(locateItems(merged, parsed.data), names));
  if (issues.length > 0 || !parsed.success) {
    throw new ConfigError(issues);
  }
  const bundle = parsed.data;
  return { bundle, items: locateValidItems(merged, bundle) };
}

interface MergedBundle {
  readonly bundle: Record<ChangeKind, unknown[]>;
  readonly locations: Record<ChangeKind, ItemLocation[]>;
  readonly issues: ConfigIssue[];
}

function mergeFiles(files: readonly BundleFile[]): MergedBundle {
  const merged: MergedBundle = {
    bundle: emptyLists(),
    locations: emptyLists(),
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

function emptyLists(): Record<ChangeKind, never[]> {
  return {
    accounts: [],
    pools: [],
    services: [],
    objectives: [],
    evacuated_failure_domains: [],
  };
}

function mergeKey(
  merged: MergedBundle,
  file: string,
  key: string,
  items: unknown,
): void {
  const kind = CHANGE_KINDS.find((kind) => kind === key);
  if (kind === undefined) {
    const unknownKeyText = `is not a known key; allowed: ${
      CHANGE_KINDS.join(", ")
    }`;
    merged.issues.push(topLevelIssue(file, key, items, unknownKeyText));
    return;
  }
  if (!Array.isArray(items)) {
    const allowedText = kind === "evacuated_failure_domains"
      ? "must be a list of names"
      : `must be a list, written [[${key}]]`;
    merged.issues.push(topLevelIssue(file, key, items, allowedText));
    return;
  }
  items.forEach((item, index) => {
    merged.bundle[kind].push(item);
    merged.locations[kind].push({ file, key: `${kind}.${index}` });
  });
}

function topLevelIssue(
  file: string,
  key: string,
  value: unknown,
  allowedText: string,
): ConfigIssue {
  const found = Array.isArray(value)
    ? "a list"
    : `a value of type ${typeof value}`;
  return { file, key, found, allowed: allowedText };
}

/** Converts the key of an issue in the merged bundle to a file and its key. */
function locateInFile(
  issue: ConfigIssue,
  merged: MergedBundle,
  files: readonly BundleFile[],
): ConfigIssue {
  const [kind, index, ...rest] = issue.key.split(".");
  const locations = merged.locations[kind as ChangeKind] as
    | ItemLocation[]
    | undefined;
  const location = locations?.[Number(index)];
  if (location === undefined) {
    const file = files.map((source) => source.file).join(", ");
    return { ...issue, file: file || "(no file)" };
  }
  const key = [location.key, ...rest].join(".");
  return { ...issue, file: location.file, key };
}

/** Names of all items, also of those with errors in other keys. */
function namesOf(
  bundle: Readonly<Record<BundleKind, unknown[]>>,
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

function locateItems(
  merged: MergedBundle,
  valid: Bundle | undefined,
): LocatedItems {
  const locate = <K extends BundleKind>(
    kind: K,
    schema: z.ZodType<Bundle[K][number]>,
  ) =>
    merged.locations[kind].map((location, index) => ({
      ...location,
      item: valid === undefined
        ? recoverItem(merged.bundle[kind][index], schema)
        : valid[kind][index] as PartialItem<Bundle[K][number]>,
    }));
  return {
    accounts: locate("accounts", AccountSchema),
    pools: locate("pools", PoolSchema),
    services: locate("services", ServiceSchema),
    objectives: locate("objectives", ObjectiveSchema),
  };
}

function locateValidItems(
  merged: MergedBundle,
  bundle: Bundle,
): LocatedBundle {
  const locate = <K extends BundleKind>(kind: K) =>
    bundle[kind].map((item, index) => ({
      ...merged.locations[kind][index],
      item: item as Bundle[K][number],
    }));
  return {
    accounts: locate("accounts"),
    pools: locate("pools"),
    services: locate("services"),
    objectives: locate("objectives"),
  };
}

/**
 * Parses an item and fills in defaults. An invalid item is returned without its
 * invalid values and without defaults.
 */
function recoverItem<T>(item: unknown, schema: z.ZodType<T>): PartialItem<T> {
  const parsed = schema.safeParse(item);
  if (parsed.success) {
    return parsed.data as PartialItem<T>;
  }
  if (item === null || typeof item !== "object") {
    return {};
  }
  const validFields: Record<PropertyKey, unknown> = { ...item };
  for (const { path } of parsed.error.issues) {
    const [key, index] = path;
    const list = validFields[key];
    if (typeof index === "number" && Array.isArray(list)) {
      validFields[key] = list.with(index, undefined);
    } else if (key !== undefined) {
      delete validFields[key];
    }
  }
  return validFields as PartialItem<T>;
}
