import { spawn } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { basename, join } from "node:path";
import { z } from "zod";
import type { PlayResult } from "./pair_table.js";

/** The fields of a journal entry of the users' bench that are read here. */
const JournalEntrySchema = z.object({
  why: z.string(),
  ok: z.boolean(),
  days: z.array(z.object({
    G: z.number(),
    rules: z.record(z.string(), z.unknown()),
  })),
});

export interface Play {
  readonly arm: string;
  /** Checkout whose sources the arm plays. */
  readonly directory: string;
  readonly sitePath: string;
  readonly day: string;
  readonly seed: number;
}

export interface PlayRunnerOptions {
  /** Program of the users' bench. */
  readonly benchPath: string;
  readonly why: string;
  /** Whether processor time is charged. */
  readonly chargesProcessor: boolean;
}

/** A play ended without a result. */
export class PlayError extends Error {
  override readonly name = "PlayError";
}

/**
 * Plays days with the users' bench. A play that is already in the journal of its
 * checkout is not repeated, so an interrupted series can be continued.
 */
export class PlayRunner {
  readonly #options: PlayRunnerOptions;

  constructor(options: PlayRunnerOptions) {
    this.#options = options;
  }

  /** Rejects with {@link PlayError} if the bench did not finish the day. */
  async run(play: Play): Promise<PlayResult> {
    const known = this.#find(play);
    if (known) {
      return known;
    }
    const exitCode = await this.#spawn(play);
    const result = this.#find(play);
    if (!result) {
      throw new PlayError(
        `${play.arm} ${play.day} ${play.seed}: exit code ${exitCode}, no result`,
      );
    }
    return result;
  }

  #spawn({ day, directory, seed, sitePath, ...play }: Play): Promise<number> {
    const { benchPath, chargesProcessor } = this.#options;
    const why = this.#whyOf({ day, directory, seed, sitePath, ...play });
    const child = spawn(benchPath, [
      "run",
      sitePath,
      day,
      "--seed",
      String(seed),
      ...(chargesProcessor ? [] : ["--no-cpu"]),
      "--jobs",
      "1",
      "--why",
      why,
    ], { cwd: directory, stdio: "ignore" });
    return new Promise((resolve, reject) => {
      child.once("error", reject);
      child.once("exit", (code) => resolve(code ?? -1));
    });
  }

  /** Text by which the play is found again in the journal. */
  #whyOf({ arm, day, seed, sitePath }: Play): string {
    const { chargesProcessor, why } = this.#options;
    const mode = chargesProcessor ? "" : ", processor not charged";
    return `${why}: ${arm}, ${basename(sitePath)} ${day}, seed ${seed}${mode}`;
  }

  #find(play: Play): PlayResult | undefined {
    const why = this.#whyOf(play);
    const folder = join(play.directory, "journal");
    for (const name of readdirSync(folder)) {
      if (!name.endsWith(".json")) {
        continue;
      }
      const text = readFileSync(join(folder, name), "utf8");
      const parsed = text.includes(why)
        ? JournalEntrySchema.safeParse(JSON.parse(text))
        : undefined;
      const day = parsed?.data?.days[0];
      if (parsed?.data?.why === why && day) {
        return {
          arm: play.arm,
          site: basename(play.sitePath, ".toml"),
          day: play.day,
          seed: play.seed,
          worth: day.G,
          brokenRules: Object.keys(day.rules),
        };
      }
    }
    return undefined;
  }
}
