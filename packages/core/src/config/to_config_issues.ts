import type { z } from "zod";
import type { ConfigIssue } from "./config_error.js";

/** Longest excerpt of a rejected value in an error message. */
const MAX_EXCERPT_CHARS = 60;

/** Keys whose values are never included in an error message. */
const SECRET_KEY = /key|secret|token_hash/;

/** Converts a zod error on `value`, which was read from `file`. */
export function toConfigIssues(
  error: z.ZodError,
  value: unknown,
  file: string,
): ConfigIssue[] {
  return error.issues.flatMap((issue) => {
    const paths = issue.code === "unrecognized_keys"
      ? issue.keys.map((key) => [...issue.path, key])
      : [issue.path];
    const allowedText = issue.code === "unrecognized_keys"
      ? "is not a known key"
      : issue.message;
    return paths.map((path) => issueAt(path, value, file, allowedText));
  });
}

function issueAt(
  path: readonly PropertyKey[],
  value: unknown,
  file: string,
  allowedText: string,
): ConfigIssue {
  const key = path.map(String).join(".");
  return {
    file,
    key: key === "" ? "(top level)" : key,
    found: excerptAt(value, path, key),
    allowed: allowedText,
  };
}

function excerptAt(
  value: unknown,
  path: readonly PropertyKey[],
  key: string,
): string {
  let current: unknown = value;
  for (const segment of path) {
    if (current === null || typeof current !== "object") {
      return "nothing";
    }
    current = (current as Record<PropertyKey, unknown>)[segment];
  }
  if (current === undefined) {
    return "nothing";
  }
  if (SECRET_KEY.test(key)) {
    return "a value that is not shown";
  }
  if (typeof current === "object" && current !== null) {
    // Tables and lists may contain secrets under misplaced keys.
    return Array.isArray(current) ? "a list" : "a table";
  }
  return (JSON.stringify(current) ?? String(current)).slice(
    0,
    MAX_EXCERPT_CHARS,
  );
}
