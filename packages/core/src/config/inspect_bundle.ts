/** Checks a bundle before it is sent to a router. */
import { BundleAccess } from "./bundle_access.js";
import { type BundleFile, checkAndLocateBundle } from "./bundle_check.js";
import type { BundleFinding } from "./bundle_finding.js";
import type { Bundle } from "./bundle_schema.js";
import { findContradictoryLimits } from "./contradictory_limits.js";
import { findUnmatchedEntries } from "./unmatched_entries.js";

/** A valid bundle and what is doubtful about it. */
export interface BundleInspection {
  readonly bundle: Bundle;
  readonly warnings: readonly BundleFinding[];
}

/**
 * Checks a bundle and finds entries that can never match and limits that
 * contradict each other.
 *
 * Throws `ConfigError` that lists the errors, if there are any.
 */
export function inspectBundleFiles(
  files: readonly BundleFile[],
): BundleInspection {
  const { bundle, items } = checkAndLocateBundle(files);
  const access = new BundleAccess(bundle);
  const warnings = [
    ...findUnmatchedEntries(items, access),
    ...findContradictoryLimits(items, access),
  ];
  return { bundle, warnings };
}
