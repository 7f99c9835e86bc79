// What a script records and how it ends.

import { writeFileSync } from "node:fs";

/** Lines of `record.txt` in the folder of a case. */
export class Report {
  #lines = [];
  #path;
  #startedMs = performance.now();

  constructor(caseUrl) {
    this.#path = new URL("record.txt", caseUrl).pathname;
  }

  add(text, atMs = performance.now()) {
    const seconds = ((atMs - this.#startedMs) / 1000).toFixed(3);
    this.#lines.push([atMs, `${seconds.padStart(8)} s  ${text}`]);
  }

  /** Writes the record, the latest lines last, and shows the result. */
  write(result) {
    const lines = this.#lines.sort(([a], [b]) => a - b).map(([, text]) => text);
    writeFileSync(this.#path, [...lines, "", result, ""].join("\n"));
    process.stdout.write(`${result}\n`);
  }
}

/** Whether the disruption is played. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/**
 * Runs a case and exits: 1 if it returns that the rule was broken, 0 if the rule
 * held, 2 if the case could not run.
 *
 * @param run Gets the report and a function that registers what must be stopped.
 */
export async function runCase(caseUrl, run) {
  const report = new Report(caseUrl);
  const stops = [];
  let exitCode = 2;
  try {
    const { broken, text } = await run(report, (stop) => stops.push(stop));
    exitCode = broken ? 1 : 0;
    report.write(`${broken ? "BROKEN" : "HELD"}: ${text}`);
  } catch (error) {
    report.write(`COULD NOT RUN: ${error.stack}`);
  }
  for (const stop of stops.toReversed()) {
    await stop();
  }
  process.exit(exitCode);
}
