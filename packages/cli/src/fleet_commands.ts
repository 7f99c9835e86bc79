import { writeFileSync } from "node:fs";
import type { BurnReport } from "@anvildeal/core";
import { renderBurnPage } from "./burn_page.js";
import { formatBurnTable } from "./burn_table.js";
import { CliError, usageError } from "./cli_error.js";
import type { Command } from "./command.js";
import { ExitCode } from "./exit_code.js";
import { findRequestLog, formatRequestLog } from "./request_log.js";
import { formatTable } from "./table.js";

const status: Command = {
  name: "status",
  usage: "",
  description: "Show the router's view of the fleet",
  options: [],
  async run(context) {
    const json = await context.client().get("/status");
    return { json, text: formatJson(json) };
  },
};

const explain: Command = {
  name: "explain",
  usage: "<request-id>",
  description: "Explain how a request was routed and answered",
  options: [{
    flags: "--log",
    description: "Use router log lines from standard input instead of a router",
  }],
  async run(context, [requestId]) {
    if (context.options.log === true) {
      const requestLog = findRequestLog(
        await context.io.readStdin(),
        requestId,
      );
      return { json: requestLog, text: formatRequestLog(requestLog) };
    }
    const path = `/explain/${encodeURIComponent(requestId)}`;
    const json = await context.client().get(path);
    return { json, text: formatJson(json) };
  },
};

const drain: Command = {
  name: "drain",
  usage: "<endpoint>",
  description: "Let an endpoint finish its requests and accept no new ones",
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
  description: "Print a report, such as 'burn' (error budget burn)",
  options: [{
    flags: "--html <file>",
    description: "Write the burn report to a file as an HTML page",
  }],
  async run(context, [name]) {
    const path = `/report/${encodeURIComponent(name)}`;
    const json = await context.client().get(path);
    const { html } = context.options;
    if (html !== undefined) {
      return writeBurnPage(json, String(html));
    }
    if (isBurnReport(json)) {
      return { json, text: formatBurnTable(json) };
    }
    const rows = tableRowsOf(json);
    return { json, text: rows ? formatTable(rows) : formatJson(json) };
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

function writeBurnPage(json: unknown, file: string) {
  if (!isBurnReport(json)) {
    throw usageError("--html works only with the report 'burn'.");
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

/** Returns the rows of a report, or undefined if the report is not a table. */
function tableRowsOf(json: unknown): Record<string, unknown>[] | undefined {
  const rows = (json as { rows?: unknown } | null)?.rows;
  const isTable = Array.isArray(rows) && rows.length > 0 &&
    rows.every((row) => row !== null && typeof row === "object");
  return isTable ? rows as Record<string, unknown>[] : undefined;
}

function formatJson(json: unknown): string {
  return JSON.stringify(json, null, 2);
}
