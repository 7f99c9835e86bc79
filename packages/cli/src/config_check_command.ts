import {
  type BundleFile,
  type BundleFinding,
  type BundleInspection,
  ConfigError,
  formatBundleFinding,
  inspectBundleFiles,
  toErrorFinding,
} from "@anvildeal/core";
import type { AdminClient } from "./admin_client.js";
import {
  describeDiff,
  type DiffAnswer,
  fetchDiff,
} from "./bundle_comparison.js";
import { readBundleFiles } from "./bundle_files.js";
import { CliError, invalidBundleError } from "./cli_error.js";
import type { Command } from "./command.js";
import { ExitCode } from "./exit_code.js";

/** Result of the check as `--json` prints it. */
interface CheckReport {
  readonly valid: true;
  readonly accounts: number;
  readonly pools: number;
  readonly services: number;
  readonly objectives: number;
  readonly findings: readonly BundleFinding[];
}

export const check: Command = {
  name: "config check",
  usage: "[...files]",
  description: "Check bundle files before they are sent to a router",
  options: [{
    flags: "--strict",
    description: "Fail if there are warnings",
  }, {
    flags: "--against-in-force",
    description: "Show the differences from the version in force",
  }],
  async run({ options, io, client }, paths) {
    const inForceClient = options.againstInForce === true
      ? client()
      : undefined;
    const { files, bundle, warnings } = await inspectFiles(paths);
    const report: CheckReport = {
      valid: true,
      accounts: bundle.accounts.length,
      pools: bundle.pools.length,
      services: bundle.services.length,
      objectives: bundle.objectives.length,
      findings: warnings,
    };
    if (options.json !== true) {
      warnings.forEach((warning) =>
        io.writeError(formatBundleFinding(warning))
      );
    }
    if (options.strict === true && warnings.length > 0) {
      throw warningsError(report);
    }
    const text = describeReport(report);
    if (inForceClient === undefined) {
      return { json: report, text };
    }
    const answer = await compare(inForceClient, files, report);
    return {
      json: { ...report, in_force: answer },
      text: `${text}\n${describeDiff(answer)}`,
    };
  },
};

/** Throws {@link CliError} whose details list the errors as findings. */
async function inspectFiles(
  paths: readonly string[],
): Promise<BundleInspection & { readonly files: readonly BundleFile[] }> {
  try {
    const files = await readBundleFiles(paths);
    return { files, ...inspectBundleFiles(files) };
  } catch (error) {
    const failure = error instanceof ConfigError
      ? invalidBundleError(error)
      : error;
    if (failure instanceof CliError && failure.issues.length > 0) {
      const findings = failure.issues.map(toErrorFinding);
      throw failure.withDetails({ valid: false, findings });
    }
    throw failure;
  }
}

function warningsError(report: CheckReport): CliError {
  const message = `Warnings found in the bundle: ${report.findings.length}.`;
  return new CliError(ExitCode.failed, "warnings", message, [], report);
}

/** Throws {@link CliError} that says what was checked without a router. */
async function compare(
  client: AdminClient,
  files: readonly BundleFile[],
  report: CheckReport,
): Promise<DiffAnswer> {
  try {
    return await fetchDiff(client, files);
  } catch (error) {
    if (!(error instanceof CliError)) {
      throw error;
    }
    const { exitCode, code, issues } = error;
    const message = `The bundle is ${describeReport(report)}. It was not ` +
      `compared with the version in force: ${error.message}`;
    throw new CliError(exitCode, code, message, issues, report);
  }
}

function describeReport({ findings, ...counts }: CheckReport): string {
  const listed = Object.entries(counts).filter(([kind]) => kind !== "valid")
    .map(([kind, count]) => `${count} ${kind}`);
  const warnings = findings.length === 0 ? "" : `; ${findings.length} warnings`;
  return `valid: ${listed.join(", ")}${warnings}`;
}
