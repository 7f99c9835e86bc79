import { cac } from "cac";
import { consola } from "consola";
import { formatPairs, type PlayResult, summarizePairs } from "./pair_table.js";
import { type Play, PlayRunner } from "./play_runner.js";

/** Largest number of days that are played at a time. */
const MAX_JOBS = 4;

interface PairsFlags {
  readonly bench?: string;
  readonly arm?: string | readonly string[];
  readonly site?: string | readonly string[];
  readonly days?: string;
  /** The parser turns a single seed into a number. */
  readonly seeds?: string | number;
  readonly jobs?: number;
  readonly why?: string;
  readonly cpu: boolean;
}

const cli = cac("pairs");
cli.command("", "Plays the same days with several checkouts and compares them")
  .option("--bench <path>", "Program of the users' bench")
  .option("--arm <name=dir>", "Checkout to play; the first one is the base")
  .option("--site <path>", "Site file; may be repeated")
  .option("--days <names>", "Names of days, joined by commas")
  .option("--seeds <numbers>", "Seeds, joined by commas")
  .option("--jobs <n>", `Days at a time, at most ${MAX_JOBS}`, { default: 3 })
  .option("--no-cpu", "Do not charge processor time")
  .option("--why <text>", "Reason, for the journal")
  .action(runPairs);
cli.help();
cli.parse();

async function runPairs(flags: PairsFlags): Promise<void> {
  const plays = playsOf(flags);
  const runner = new PlayRunner({
    benchPath: required(flags.bench, "--bench"),
    why: required(flags.why, "--why"),
    chargesProcessor: flags.cpu,
  });
  const results: PlayResult[] = [];
  const queue = [...plays];
  const work = async () => {
    for (let play = queue.shift(); play; play = queue.shift()) {
      try {
        const result = await runner.run(play);
        results.push(result);
        consola.info(
          `${results.length} of ${plays.length}: ${result.arm} ${result.day} ` +
            `${result.seed} worth ${result.worth.toFixed(3)} ` +
            result.brokenRules.join(" "),
        );
      } catch (error) {
        consola.error(error);
        process.exitCode = 1;
      }
    }
  };
  const jobs = Math.min(MAX_JOBS, Number(flags.jobs ?? MAX_JOBS));
  await Promise.all(Array.from({ length: jobs }, work));
  const [base] = plays;
  for (const line of formatPairs(summarizePairs(results, base!.arm))) {
    process.stdout.write(`${line}\n`);
  }
}

/** Arms alternate, so that both of a pair are played under similar load. */
function playsOf(flags: PairsFlags): Play[] {
  const arms = listOf(flags.arm).map((text) => {
    const [name = "", directory = ""] = text.split("=");
    return { name, directory: required(directory, "--arm name=dir") };
  });
  const sites = listOf(flags.site);
  const days = required(flags.days, "--days").split(",");
  const seeds = required(flags.seeds?.toString(), "--seeds").split(",")
    .map(Number);
  if (arms.length === 0 || sites.length === 0 || seeds.some(Number.isNaN)) {
    throw new Error("--arm, --site and numeric --seeds are required");
  }
  return sites.flatMap((sitePath) =>
    days.flatMap((day) =>
      seeds.flatMap((seed) =>
        arms.map(({ directory, name: arm }) => ({
          arm,
          directory,
          sitePath,
          day,
          seed,
        }))
      )
    )
  );
}

function listOf(value: string | readonly string[] | undefined): string[] {
  return value === undefined ? [] : [value].flat();
}

function required(value: string | undefined, name: string): string {
  if (!value) {
    throw new Error(`${name} is required`);
  }
  return value;
}
