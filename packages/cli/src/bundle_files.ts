import { readdir, readFile, stat } from "node:fs/promises";
import { join } from "node:path";
import type { BundleFile, ConfigIssue } from "@anvildeal/core";
import { parse, TomlError } from "smol-toml";
import { CliError, usageError } from "./cli_error.js";
import { ExitCode } from "./exit_code.js";

/**
 * Reads a bundle from TOML files; for a directory, reads its `*.toml` files.
 *
 * Throws a {@link CliError} if a path does not exist, if a directory has no
 * TOML files, or if files have syntax errors; in the last case, the error lists
 * the syntax errors of all files.
 */
export async function readBundleFiles(
  paths: readonly string[],
): Promise<BundleFile[]> {
  if (paths.length === 0) {
    throw usageError(
      "No bundle given: name its TOML files or their directory.",
    );
  }
  const files: BundleFile[] = [];
  const issues: ConfigIssue[] = [];
  for (const file of (await Promise.all(paths.map(expandPath))).flat()) {
    const text = await readFile(file, "utf8");
    try {
      files.push({ file, bundle: parse(text) });
    } catch (error) {
      if (!(error instanceof TomlError)) {
        throw error;
      }
      issues.push(syntaxIssue(file, error));
    }
  }
  if (issues.length > 0) {
    const message = "The bundle is not valid TOML; see the errors above.";
    throw new CliError(ExitCode.failed, "invalid_bundle", message, issues);
  }
  return files;
}

async function expandPath(path: string): Promise<string[]> {
  const found = await stat(path).catch(() => undefined);
  if (found === undefined) {
    throw usageError(`No file or directory ${path}.`);
  }
  if (!found.isDirectory()) {
    return [path];
  }
  const names = (await readdir(path)).filter((name) => name.endsWith(".toml"));
  if (names.length === 0) {
    throw usageError(`Directory ${path} has no *.toml files.`);
  }
  return names.sort().map((name) => join(path, name));
}

function syntaxIssue(file: string, error: TomlError): ConfigIssue {
  return {
    file,
    key: `line ${error.line}, column ${error.column}`,
    found: "a syntax error",
    allowed: error.message.split("\n")[0],
  };
}
