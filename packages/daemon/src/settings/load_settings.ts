import { readFileSync } from "node:fs";
import {
  ConfigError,
  type Settings,
  SettingsSchema,
  toConfigIssues,
} from "@anvildeal/core";
import { parse, TomlError } from "smol-toml";

/**
 * Reads and checks a settings file.
 *
 * Throws {@link ConfigError} with an issue for each invalid key, which names
 * the file, the key, the value found and the allowed values.
 */
export function loadSettings(file: string): Settings {
  const value = parseToml(readText(file), file);
  const parsed = SettingsSchema.safeParse(value);
  if (!parsed.success) {
    throw new ConfigError(toConfigIssues(parsed.error, value, file));
  }
  return parsed.data;
}

function readText(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    throw singleIssueError(file, "(file)", String(error), "expected a file");
  }
}

function parseToml(text: string, file: string): unknown {
  try {
    return parse(text);
  } catch (error) {
    if (error instanceof TomlError) {
      const position = `line ${error.line}, column ${error.column}`;
      throw singleIssueError(file, position, "invalid TOML", error.message);
    }
    throw error;
  }
}

function singleIssueError(
  file: string,
  key: string,
  found: string,
  allowed: string,
): ConfigError {
  return new ConfigError([{ file, key, found, allowed }]);
}
