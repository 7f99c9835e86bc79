import { CaseRecord } from "./case_record.mjs";

const BROKEN = 1;
const COULD_NOT_RUN = 2;

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

/**
 * Runs a case and exits with 0 if the rule held, 1 if it was broken, and 2 if
 * the case could not run.
 *
 * @param folder Folder of the case.
 * @param run Gets the record and a list of functions that end what was started;
 *   returns texts, one for each time that the rule was broken.
 */
export async function runCase(folder, run) {
  const record = new CaseRecord(folder);
  const cleanups = [];
  record.note(hasTrouble ? "with the disruption" : "without the disruption");
  let exitCode;
  try {
    const broken = await run(record, cleanups);
    broken.forEach((text) => record.note(`BROKEN ${text}`));
    record.note(`the rule was broken ${broken.length} times`);
    exitCode = broken.length > 0 ? BROKEN : 0;
  } catch (error) {
    record.note(`the case could not run: ${error.stack}`);
    exitCode = COULD_NOT_RUN;
  }
  for (const cleanup of cleanups.toReversed()) {
    await cleanup();
  }
  record.write();
  const last = record.lastLine;
  process.stdout.write(`${last}\n`);
  process.exit(exitCode);
}
