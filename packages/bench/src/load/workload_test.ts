import { expectedAnswer } from "@anvildeal/stand-ins";
import { describe, expect, it } from "vitest";
import { defaultAccounts } from "../fleet/bench_bundle.js";
import { SeededRandom } from "../seeded_random.js";
import { GrantsWorkload } from "./grants_workload.js";
import type { PlannedRequest } from "./planned_request.js";
import { WikiWorkload } from "./wiki_workload.js";
import { DEFAULT_WORKLOAD_OPTIONS } from "./workload.js";

const options = {
  ...DEFAULT_WORKLOAD_OPTIONS,
  durationMs: 10_000,
  requestsPerS: 30,
  accounts: defaultAccounts(),
  answer: expectedAnswer,
};

describe.each([
  ["wiki", WikiWorkload],
  ["grants", GrantsWorkload],
])("%s workload", (_name, Workload) => {
  const plan = (seed: number): PlannedRequest[] =>
    new Workload(options).plan(new SeededRandom(seed));

  it("gives equal plans for equal seeds, so that arms are comparable", () => {
    expect(plan(7)).toEqual(plan(7));
    expect(plan(7)).not.toEqual(plan(8));
  });

  it("plans arrivals in order and at the requested rate", () => {
    const times = plan(7).map((request) => request.atMs);
    expect(times).toEqual([...times].sort((a, b) => a - b));
    // The limit is four standard deviations of a Poisson count of mean 300.
    expect(Math.abs(times.length - 300)).toBeLessThan(70);
  });

  it("starts a later prompt with the earlier messages and answer", () => {
    const lastRequestByChat = new Map<string, PlannedRequest>();
    let returningCount = 0;
    for (const request of plan(7)) {
      if (request.kind !== "chat") {
        continue;
      }
      const before = lastRequestByChat.get(request.chat);
      lastRequestByChat.set(request.chat, request);
      if (before?.kind === "chat") {
        returningCount++;
        expect(request.turn).toBe(before.turn + 1);
        expect(request.messages.slice(0, before.messages.length + 1)).toEqual([
          ...before.messages,
          { role: "assistant", content: before.expected },
        ]);
      } else {
        expect(request.turn).toBe(0);
      }
    }
    expect(returningCount).toBeGreaterThan(20);
  });
});
