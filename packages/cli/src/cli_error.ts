import type { ConfigError, ConfigIssue } from "@anvildeal/core";
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
  /** Keys that `--json` prints beside `error`. */
  readonly details: object;

  constructor(
    exitCode: ExitCode,
    code: string,
    message: string,
    issues: readonly ConfigIssue[] = [],
    details: object = {},
  ) {
    super(message);
    this.exitCode = exitCode;
    this.code = code;
    this.issues = issues;
    this.details = details;
  }

  /** Copy of this error with other details. */
  withDetails(details: object): CliError {
    const { exitCode, code, message, issues } = this;
    return new CliError(exitCode, code, message, issues, details);
  }
}

/**
 * Returns an error for invalid input from the operator, such as arguments or
 * environment variables, as opposed to a failure of the fleet.
 */
export function usageError(message: string): CliError {
  return new CliError(ExitCode.usage, "usage", message);
}

/** Returns the failure of a command on a bundle with errors. */
export function invalidBundleError({ issues }: ConfigError): CliError {
  const message = `Errors found in the bundle: ${issues.length}.`;
  return new CliError(ExitCode.failed, "invalid_bundle", message, issues);
}
