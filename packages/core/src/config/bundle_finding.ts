/** Findings of the check of a bundle before it is sent to a router. */
import type { ItemLocation } from "./bundle_check.js";
import type { ConfigIssue } from "./config_error.js";

/**
 * One finding. Routers reject a bundle with errors and accept one with
 * warnings.
 */
export interface BundleFinding extends ItemLocation {
  readonly severity: "error" | "warning";
  readonly text: string;
}

/** Converts an error in a bundle to a finding. */
export function toErrorFinding(issue: ConfigIssue): BundleFinding {
  const { file, key, found, allowed } = issue;
  return { severity: "error", file, key, text: `found ${found}; ${allowed}` };
}

/** Creates a warning about the key `path` of an item. */
export function warningAt(
  location: ItemLocation,
  path: string,
  text: string,
): BundleFinding {
  const key = `${location.key}.${path}`;
  return { severity: "warning", file: location.file, key, text };
}

/** Formats a finding as one line for a terminal. */
export function formatBundleFinding(finding: BundleFinding): string {
  const { file, key, severity, text } = finding;
  return `${file}: ${key}: ${severity}: ${text}`;
}
