import type { ConfigIssue } from "@anvildeal/core";
import { ExitCode } from "./exit_code.js";

/** Failure of a command, with the exit code and the output it leads to. */
export class CliError extends Error {
  override readonly name = "CliError";
  readonly exitCode: ExitCode;
  /** Machine-readable error code, printed with `--json`. */
  readonly code: string;
  /** Errors found in a bundle, printed before the message. */
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

/** Error of the command line or the environment rather than of the fleet. */
export function usageError(message: string): CliError {
  return new CliError(ExitCode.usage, "usage", message);
}
