import { parseArgs } from "node:util";
import { EXPERIMENTS } from "./experiments/index.js";
import type { ExperimentOptions } from "./experiments/experiment.js";
import { formatTable } from "./report/table.js";

const USAGE =
  `Usage: npm run bench -- <experiment> [--seed N] [--json] [--routers N]
         [--engines N] [--accounts N] [--duration-s N]
       npm run bench -- --list`;

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    list: { type: "boolean", default: false },
    json: { type: "boolean", default: false },
    seed: { type: "string", default: "1" },
    routers: { type: "string" },
    engines: { type: "string" },
    accounts: { type: "string" },
    "duration-s": { type: "string" },
  },
});

if (values.list) {
  for (const { name, summary } of EXPERIMENTS) {
    console.log(`${name.padEnd(10)} ${summary}`);
  }
} else {
  await runExperiment(positionals[0]);
}

async function runExperiment(name: string | undefined): Promise<void> {
  const experiment = EXPERIMENTS.find((item) => item.name === name);
  if (experiment === undefined) {
    console.error(USAGE);
    process.exitCode = 2;
    return;
  }
  const options = readOptions();
  const startMs = performance.now();
  const { arms, targets } = await experiment.run(options);
  const elapsedS = Math.round((performance.now() - startMs) / 1000);
  console.log(formatTable(
    ["target", "measured", "met"],
    targets.map(({ target, measured, met }) => [
      target,
      String(measured),
      met ? "yes" : "NO",
    ]),
  ));
  const report = {
    experiment: experiment.name,
    seed: options.seed,
    elapsed_s: elapsedS,
    arms,
    targets,
  };
  console.log(JSON.stringify(report, undefined, values.json ? 0 : 2));
}

function readOptions(): ExperimentOptions {
  const routers = parseNumberFlag("routers");
  const engines = parseNumberFlag("engines");
  const accounts = parseNumberFlag("accounts");
  const durationS = parseNumberFlag("duration-s");
  return {
    seed: parseNumberFlag("seed") ?? 1,
    ...(routers === undefined ? {} : { routers }),
    ...(engines === undefined ? {} : { engines }),
    ...(accounts === undefined ? {} : { accounts }),
    ...(durationS === undefined ? {} : { durationMs: durationS * 1000 }),
    log: (text) => console.error(text),
  };
}

function parseNumberFlag(
  name: "seed" | "routers" | "engines" | "accounts" | "duration-s",
): number | undefined {
  const text = values[name];
  if (text === undefined) {
    return undefined;
  }
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) {
    console.error(`--${name} needs a positive integer, not ${text}`);
    process.exit(2);
  }
  return value;
}
