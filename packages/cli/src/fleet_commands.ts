import { writeFileSync } from "node:fs";
import type { BurnReport } from "@anvildeal/core";
import { renderBurnPage } from "./burn_page.js";
import { formatBurn } from "./burn_table.js";
import { CliError, usageError } from "./cli_error.js";
import type { Command } from "./command.js";
import { ExitCode } from "./exit_code.js";
import { findTrail, formatTrail } from "./log_trail.js";
import { formatTable } from "./table.js";

const status: Command = {
  name: "status",
  usage: "",
  description: "Show what the router knows of the fleet",
  options: [],
  async run(context) {
    const json = await context.client().get("/status");
    return { json, text: indented(json) };
  },
};

const explain: Command = {
  name: "explain",
  usage: "<request-id>",
  description: "Explain how a request was placed and answered",
  options: [{
    flags: "--log",
    description: "Explain from router log lines on standard input",
  }],
  async run(context, [requestId]) {
    if (context.options.log === true) {
      const trail = findTrail(await context.io.readStdin(), requestId);
      return { json: trail, text: formatTrail(trail) };
    }
    const path = `/explain/${encodeURIComponent(requestId)}`;
    const json = await context.client().get(path);
    return { json, text: indented(json) };
  },
};

const drain: Command = {
  name: "drain",
  usage: "<endpoint>",
  description: "Let an endpoint finish its work and accept no more",
  options: [{ flags: "--yes", description: "Do not ask for confirmation" }],
  async run(context, [endpoint]) {
    const client = context.client();
    await context.confirm(`Drain endpoint ${endpoint}?`);
    const path = `/drain/${encodeURIComponent(endpoint)}`;
    const json = await client.post(path, {});
    return { json, text: `endpoint ${endpoint} is draining` };
  },
};

const report: Command = {
  name: "report",
  usage: "<name>",
  description: "Print a report, such as 'burn'",
  options: [{
    flags: "--html <file>",
    description: "Write the burn report as one HTML page",
  }],
  async run(context, [name]) {
    const path = `/report/${encodeURIComponent(name)}`;
    const json = await context.client().get(path);
    const { html } = context.options;
    if (html !== undefined) {
      return writePage(json, String(html));
    }
    if (isBurnReport(json)) {
      return { json, text: formatBurn(json) };
    }
    const rows = rowsOf(json);
    return { json, text: rows ? formatTable(rows) : indented(json) };
  },
};

export const FLEET_COMMANDS: readonly Command[] = [
  status,
  explain,
  drain,
  report,
];

function isBurnReport(json: unknown): json is BurnReport {
  return (json as { report?: unknown } | null)?.report === "burn";
}

function writePage(json: unknown, file: string) {
  if (!isBurnReport(json)) {
    throw usageError("Only the report 'burn' has an HTML page.");
  }
  try {
    writeFileSync(file, renderBurnPage(json));
  } catch (error) {
    throw new CliError(
      ExitCode.failed,
      "cannot_write",
      `Cannot write ${file}: ${(error as Error).message}`,
    );
  }
  return { json, text: `wrote ${file}` };
}

/** The rows of a report, if it has any. */
function rowsOf(json: unknown): Record<string, unknown>[] | undefined {
  const rows = (json as { rows?: unknown } | null)?.rows;
  const isTable = Array.isArray(rows) && rows.length > 0 &&
    rows.every((row) => row !== null && typeof row === "object");
  return isTable ? rows as Record<string, unknown>[] : undefined;
}

function indented(json: unknown): string {
  return JSON.stringify(json, null, 2);
}
