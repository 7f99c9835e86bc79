import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { LOG_EVENTS } from "./log_events.js";

describe("docs/log_events.md", () => {
  const page = readFileSync(
    new URL("../../../docs/log_events.md", import.meta.url),
    "utf8",
  );
  const rows = page.split("\n")
    .filter((line) => /^\| \d+ \|/.test(line))
    .map((line) => line.split("|").map((cell) => cell.trim()).slice(1, -1));

  it("lists exactly the events of the code, in the order of numbers", () => {
    const expected = Object.entries(LOG_EVENTS)
      .map(([name, { code, level, message }]) =>
        [String(code), level, `\`${name}\``, message] as string[]
      )
      .sort((a, b) => Number(a[0]) - Number(b[0]));
    expect(rows.map((cells) => cells.slice(0, 4))).toEqual(expected);
  });

  it("says for every event which fields it has and what to do", () => {
    const incomplete = rows.filter((cells) =>
      cells.length !== 6 || cells[4] === "" || cells[5] === ""
    );
    expect(incomplete).toEqual([]);
  });

  it("uses every number once, so that a search finds one event", () => {
    const codes = Object.values(LOG_EVENTS).map(({ code }) => code);
    expect(new Set<number>(codes).size).toBe(codes.length);
  });
});
