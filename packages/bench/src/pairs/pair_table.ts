/** One day as one arm played it. */
export interface PlayResult {
  readonly arm: string;
  readonly site: string;
  readonly day: string;
  readonly seed: number;
  readonly worth: number;
  /** Names of the rules that were broken. */
  readonly brokenRules: readonly string[];
}

/** Paired comparison of an arm with the first arm. */
export interface PairSummary {
  readonly arm: string;
  /** Site and day, or `all`. */
  readonly group: string;
  readonly pairs: number;
  readonly baseWorth: number;
  readonly worth: number;
  readonly meanDifference: number;
  /** Standard error of the mean difference; undefined for a single pair. */
  readonly standardError: number | undefined;
  readonly brokenRules: readonly string[];
}

/** Compares each arm with the base arm on the days that both played. */
export function summarizePairs(
  results: readonly PlayResult[],
  baseArm: string,
): PairSummary[] {
  const arms = new Set(results.map(({ arm }) => arm));
  arms.delete(baseArm);
  return [...arms].flatMap((arm) => {
    const pairs = results.filter((result) => result.arm === arm).flatMap(
      (result) => {
        const base = results.find((other) =>
          other.arm === baseArm && playId(other) === playId(result)
        );
        return base ? [{ base, result }] : [];
      },
    );
    const groups = new Set(pairs.map(({ result }) => groupOf(result)));
    return ["all", ...groups].map((group) =>
      summarizeGroup(
        arm,
        group,
        pairs.filter(({ result }) =>
          group === "all" || groupOf(result) === group
        ),
      )
    );
  });
}

interface Pair {
  readonly base: PlayResult;
  readonly result: PlayResult;
}

function summarizeGroup(
  arm: string,
  group: string,
  pairs: readonly Pair[],
): PairSummary {
  const differences = pairs.map(({ base, result }) =>
    result.worth - base.worth
  );
  return {
    arm,
    group,
    pairs: pairs.length,
    baseWorth: mean(pairs.map(({ base }) => base.worth)),
    worth: mean(pairs.map(({ result }) => result.worth)),
    meanDifference: mean(differences),
    standardError: standardErrorOf(differences),
    brokenRules: pairs.flatMap(({ result }) => result.brokenRules),
  };
}

/** Lines of a Markdown table. */
export function formatPairs(summaries: readonly PairSummary[]): string[] {
  return [
    "| arm | days | pairs | base | worth | difference | error | rules broken |",
    "|---|---|---|---|---|---|---|---|",
    ...summaries.map((summary) =>
      `| ${summary.arm} | ${summary.group} | ${summary.pairs} | ${
        summary.baseWorth.toFixed(3)
      } | ${summary.worth.toFixed(3)} | ${
        summary.meanDifference.toFixed(4)
      } | ${summary.standardError?.toFixed(4) ?? "-"} | ${
        summary.brokenRules.join(", ") || "none"
      } |`
    ),
  ];
}

function playId({ day, seed, site }: PlayResult): string {
  return `${site} ${day} ${seed}`;
}

function groupOf({ day, site }: PlayResult): string {
  return `${site} ${day}`;
}

function mean(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0) / values.length;
}

function standardErrorOf(values: readonly number[]): number | undefined {
  if (values.length < 2) {
    return undefined;
  }
  const center = mean(values);
  const squares = values.reduce((sum, value) => sum + (value - center) ** 2, 0);
  return Math.sqrt(squares / (values.length - 1) / values.length);
}
