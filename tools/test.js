/**
 * Runs all tests and exits with 1 if one fails that `KNOWN-RED.txt` does not
 * list. There, a line `red: FILE > SUITE > TEST` names a test that may fail;
 * each such failure is printed. Errors outside of tests always count.
 */
import { readFile } from "node:fs/promises";
import path from "node:path";
import { startVitest } from "vitest/node";

const LIST_FILE = "KNOWN-RED.txt";
const ENTRY_PREFIX = "red: ";

/** Names of the tests that may fail, as {@link testName} gives them. */
export function parseKnownFailures(text) {
  return new Set(
    text.split("\n")
      .filter((line) => line.startsWith(ENTRY_PREFIX))
      .map((line) => line.slice(ENTRY_PREFIX.length).trim()),
  );
}

/**
 * Splits failed tests into those that are listed and all others.
 *
 * @param names Names of the failed tests.
 * @param known Names of the tests that may fail.
 */
export function classifyFailures(names, known) {
  return {
    listed: names.filter((name) => known.has(name)),
    unexpected: names.filter((name) => !known.has(name)),
  };
}

/** `FILE > SUITE > TEST`, with the path of the file from the root. */
function testName(testCase) {
  const file = path.relative(process.cwd(), testCase.module.moduleId)
    .split(path.sep).join("/");
  return `${file} > ${testCase.fullName}`;
}

/** Errors of files that failed to load, and of hooks outside of a test. */
function suiteErrors(modules) {
  return modules.flatMap((module) => [
    ...module.errors(),
    ...[...module.children.allSuites()].flatMap((suite) => suite.errors()),
  ]);
}

async function main() {
  const known = parseKnownFailures(await readFile(LIST_FILE, "utf8"));
  const vitest = await startVitest("test", [], { watch: false });
  const modules = vitest.state.getTestModules();
  const failed = modules
    .flatMap((module) => [...module.children.allTests("failed")])
    .map(testName);
  const otherErrors = [
    ...vitest.state.getUnhandledErrors(),
    ...suiteErrors(modules),
  ];
  await vitest.close();
  const { listed, unexpected } = classifyFailures(failed, known);
  for (const name of listed) {
    console.log(`known failure (${LIST_FILE}): ${name}`);
  }
  for (const name of unexpected) {
    console.log(`unexpected failure: ${name}`);
  }
  const isRed = modules.length === 0 || unexpected.length > 0 ||
    otherErrors.length > 0;
  process.exit(isRed ? 1 : 0);
}

if (process.argv[1] === import.meta.filename) {
  await main();
}
