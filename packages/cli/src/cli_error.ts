import type { ConfigIssue } from "@anvildeal/core";
import { ExitCode } from "./exit_code.js";

/**
 * Failure of a command, with the exit code of the process and the texts to
 * print.
 */
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

/**
 * Returns an error for invalid input from the operator, such as arguments or
 * environment variables, as opposed to a failure of the fleet.
 */
export function usageError(message: string): CliError {
  return new CliError(ExitCode.usage, "usage", message);
}
