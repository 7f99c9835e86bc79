/**
 * Formats all source files with the dprint plugin and the settings that
 * `dprint.json` names; with `--check`, lists the files that differ and exits
 * with 1. The plugin is WebAssembly, so that the result does not depend on the
 * processor or on the C library, as the native dprint does.
 */
import { createContext } from "@dprint/formatter";
import { readFile, writeFile } from "node:fs/promises";
import path from "node:path";
import { glob } from "tinyglobby";

const CONFIG_FILE = "dprint.json";
/** Names of files that the formatter plugin of `dprint.json` reads. */
const SOURCE_FILES = "**/*.{ts,tsx,cts,mts,js,jsx,cjs,mjs}";

async function readConfig() {
  const text = await readFile(CONFIG_FILE, "utf8");
  const { plugins, excludes, typescript, ...globalConfig } = JSON.parse(text);
  if (plugins.length !== 1) {
    throw new Error(`${CONFIG_FILE} must name one plugin`);
  }
  return { plugin: plugins[0], excludes, typescript, globalConfig };
}

async function createFormatter({ plugin, typescript, globalConfig }) {
  const context = createContext(globalConfig);
  context.addPlugin(await readFile(plugin), typescript);
  const diagnostics = context.getConfigDiagnostics();
  if (diagnostics.length > 0) {
    throw new Error(`${CONFIG_FILE}: ${JSON.stringify(diagnostics)}`);
  }
  return context;
}

/** Number of the first line in which the texts differ, counted from 1. */
function firstDifferentLine(before, after) {
  const lines = after.split("\n");
  return before.split("\n").findIndex((line, index) => line !== lines[index]) +
    1;
}

/** Returns whether the file was formatted, or could not be read as source. */
async function formatFile(formatter, filePath, isCheck) {
  const before = await readFile(filePath, "utf8");
  let after;
  try {
    after = formatter.formatText({
      filePath: path.resolve(filePath),
      fileText: before,
    });
  } catch (error) {
    console.error(`${filePath}: ${error.message ?? error}`);
    return false;
  }
  if (after === before) return true;
  if (!isCheck) {
    await writeFile(filePath, after);
    return true;
  }
  const line = firstDifferentLine(before, after);
  console.error(`${filePath}:${line}: not formatted`);
  return false;
}

async function main() {
  const isCheck = process.argv.includes("--check");
  const config = await readConfig();
  const formatter = await createFormatter(config);
  const filePaths = await glob(SOURCE_FILES, {
    dot: true,
    ignore: config.excludes,
  });
  let failedCount = 0;
  for (const filePath of filePaths.sort()) {
    if (!await formatFile(formatter, filePath, isCheck)) failedCount += 1;
  }
  console.log(`${filePaths.length} source files, ${failedCount} with faults`);
  if (filePaths.length === 0 || failedCount > 0) process.exitCode = 1;
}

await main();
