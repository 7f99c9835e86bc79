import { describe, expect, it } from "vitest";
import { formatPairs, type PlayResult, summarizePairs } from "./pair_table.js";

function result(arm: string, seed: number, worth: number): PlayResult {
  return { arm, site: "s", day: "d", seed, worth, brokenRules: [] };
}

describe("summarizePairs", () => {
  it("compares only days that both arms played", () => {
    const [all] = summarizePairs([
      result("base", 1, 0.5),
      result("base", 2, 0.6),
      result("new", 1, 0.6),
      result("new", 2, 0.8),
      result("new", 3, 0.1),
    ], "base");
    expect(all).toMatchObject({ arm: "new", group: "all", pairs: 2 });
    expect(all!.meanDifference).toBeCloseTo(0.15);
    expect(all!.standardError).toBeCloseTo(0.05);
  });

  it("gives no error for a single pair", () => {
    const summaries = summarizePairs(
      [result("base", 1, 0.5), result("new", 1, 0.6)],
      "base",
    );
    expect(summaries.map(({ standardError }) => standardError))
      .toEqual([undefined, undefined]);
    expect(formatPairs(summaries)[2]).toContain("| - | none |");
  });
});
