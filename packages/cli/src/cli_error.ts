import type { ConfigIssue } from "@anvildeal/core";
import { ExitCode } from "./exit_code.js";

/** A command failed; carries the exit code and what is printed. */
export class CliError extends Error {
  override readonly name = "CliError";
  readonly exitCode: ExitCode;
  readonly code: string;
  readonly issues: readonly ConfigIssue[];

  constructor(
    exitCode: ExitCode,
    code: string,
    message: string,
    issues: readonly ConfigIssue[] = [],
  ) {
    super(message);
    this.exitCode = exitCode;
    this.code = code;
    this.issues = issues;
  }
}

export function usageError(message: string): CliError {
  return new CliError(ExitCode.usage, "usage", message);
}
