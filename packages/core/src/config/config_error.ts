/** One error in a settings file or configuration bundle. */
export interface ConfigIssue {
  readonly file: string;
  /** Path of the key, for example `accounts.0.weight`. */
  readonly key: string;
  /** The rejected value or a description of it; never a secret. */
  readonly found: string;
  /** What is allowed, as the end of the message, such as "must be a list". */
  readonly allowed: string;
}

/** A settings file or bundle was rejected; `issues` lists every error. */
export class ConfigError extends Error {
  override readonly name = "ConfigError";
  readonly issues: readonly ConfigIssue[];

  constructor(issues: readonly ConfigIssue[]) {
    super(issues.map(formatConfigIssue).join("\n"));
    this.issues = issues;
  }
}

/** Formats an issue as one line for a terminal or an API answer. */
export function formatConfigIssue(issue: ConfigIssue): string {
  return `${issue.file}: ${issue.key}: found ${issue.found}; ${issue.allowed}`;
}
