import { describe, expect, it } from "vitest";
import { type Objective, ObjectiveSchema } from "../config/index.js";
import { MessageSchema } from "../wire/index.js";
import { createBurnReport } from "./burn_report.js";
import { BurnStore } from "./burn_store.js";
import { classifyResult } from "./classify_result.js";
import type { RequestResult } from "./request_result.js";

const HOUR_MS = 3_600_000;
const START_MS = 500_000 * HOUR_MS;

function objective(fields: Partial<Objective> = {}): Objective {
  return ObjectiveSchema.parse({
    name: "available",
    indicator: "availability",
    target: 0.9,
    ...fields,
  });
}

const GOOD: RequestResult = {
  account: "wiki",
  pool: "chat",
  elapsedMs: 900,
  firstTokenMs: 100,
  available: true,
  reason: "answered",
};
const BAD = { ...GOOD, available: false, reason: "over_bound" };

function storeOf(objectives: readonly Objective[]): BurnStore {
  const store = new BurnStore(START_MS);
  store.setObjectives(objectives);
  return store;
}

describe("burn report", () => {
  it("gives the burn rate as a multiple of the allowed fraction", () => {
    const store = storeOf([objective()]);
    // 2 of 4 events in the last hour and 3 of 8 in 6 h are bad; 10% may be bad.
    for (const result of [GOOD, GOOD, GOOD, BAD]) {
      store.record(result, START_MS);
    }
    const nowMs = START_MS + 2 * HOUR_MS;
    for (const result of [GOOD, GOOD, BAD, BAD]) {
      store.record(result, nowMs);
    }
    const routers = [{ routerId: "r1", snapshot: store.snapshot(nowMs) }];
    const [row] = createBurnReport([objective()], routers, nowMs).rows;
    expect([row.burn_5m, row.burn_1h, row.burn_6h]).toEqual([5, 5, 3.75]);
    // A burn rate of 3.75 for a quarter of a day, out of 28 days.
    expect(row.budget_spent_6h).toBeCloseTo(3.75 * 0.25 / 28, 4);
    expect(row.reasons).toEqual([{ reason: "over_bound", count: 3 }]);
    expect(row.series.map(({ good, bad }) => [good, bad]))
      .toEqual([[3, 1], [2, 2]]);
  });

  it("drops events after 6 h although the ring still has their buckets", () => {
    const store = storeOf([objective()]);
    store.record(BAD, START_MS);
    const laterMs = START_MS + 6 * HOUR_MS + 10_000;
    const snapshot = store.snapshot(laterMs);
    expect(snapshot.objectives[0]).toMatchObject({ series: [], reasons: [] });
    expect(snapshot.objectives[0].windows).toEqual([[0, 0], [0, 0], [0, 0], [
      0,
      0,
    ]]);
    const routers = [{ routerId: "r1", snapshot }];
    const [row] = createBurnReport([objective()], routers, laterMs).rows;
    expect([row.burn_6h, row.budget_spent_6h]).toEqual([null, null]);
  });

  it("counts no event twice when a bucket of the ring is reused", () => {
    const store = storeOf([objective()]);
    const steps = 3 * 2160;
    for (let step = 0; step < steps; step++) {
      store.record(step % 2 === 0 ? GOOD : BAD, START_MS + step * 10_000);
    }
    const nowMs = START_MS + (steps - 1) * 10_000;
    const { windows, series } = store.snapshot(nowMs).objectives[0];
    expect(windows.map(([good, bad]) => good + bad))
      .toEqual([30, 180, 360, 2160]);
    expect(series.reduce((sum, [, good, bad]) => sum + good + bad, 0))
      .toBe(2160);
  });

  it("limits the number of reasons kept for an objective", () => {
    const store = storeOf([objective()]);
    for (let i = 0; i < 1000; i++) {
      store.record({ ...BAD, reason: `reason-${i}` }, START_MS);
    }
    const { reasons } = store.snapshot(START_MS).objectives[0];
    expect(reasons).toHaveLength(17);
    expect(reasons[0]).toEqual(["other", 984]);
  });

  it("sums the counts of routers and names missing and newly started ones", () => {
    const [first, second] = [storeOf([objective()]), storeOf([objective()])];
    first.record(BAD, START_MS);
    second.record(GOOD, START_MS);
    const report = createBurnReport([objective()], [
      { routerId: "r1", snapshot: first.snapshot(START_MS) },
      { routerId: "r2", snapshot: second.snapshot(START_MS) },
      { routerId: "r3", snapshot: undefined },
    ], START_MS);
    expect(report.rows[0]).toMatchObject({ good: 1, bad: 1, burn_5m: 5 });
    expect(report.missing_routers).toEqual(["r3"]);
    expect(report.notes.join("\n")).toMatch(/r3.*\n.*r1 \(since/);
  });

  it("does not mix events of two definitions of the same name", () => {
    const old = storeOf([objective()]);
    old.record(BAD, START_MS);
    const changed = objective({ target: 0.5 });
    const routers = [{ routerId: "r1", snapshot: old.snapshot(START_MS) }];
    expect(createBurnReport([changed], routers, START_MS).rows[0].bad).toBe(0);
    old.setObjectives([objective()]);
    expect(old.snapshot(START_MS).objectives[0].windows[0]).toEqual([0, 1]);
    old.setObjectives([changed]);
    expect(old.snapshot(START_MS).objectives[0].windows[0]).toEqual([0, 0]);
  });

  it("fits a snapshot of the largest allowed bundle into a message", () => {
    const objectives = Array.from(
      { length: 1024 },
      (_, i) => objective({ name: `objective-${i}` }),
    );
    const burn = storeOf(objectives).snapshot(START_MS);
    const message = { type: "report_state", queryId: "q", burn };
    expect(MessageSchema.safeParse(message).success).toBe(true);
  });
});

describe("classifyResult", () => {
  const firstToken = objective({
    indicator: "first_token",
    threshold_ms: 500,
  });

  it("counts a caller who disconnected after the threshold as bad", () => {
    const disconnected = { ...GOOD, firstTokenMs: undefined };
    expect(classifyResult(firstToken, { ...disconnected, elapsedMs: 501 }))
      .toBe(false);
    expect(classifyResult(firstToken, { ...disconnected, elapsedMs: 2 }))
      .toBeUndefined();
    expect(classifyResult(firstToken, GOOD)).toBe(true);
  });

  it("ignores results of other accounts and pools", () => {
    expect(classifyResult(objective({ account: "portal" }), BAD))
      .toBeUndefined();
    expect(classifyResult(objective({ pool: "other" }), BAD)).toBeUndefined();
    const combined = objective({ account: "wiki", pool: "chat" });
    expect(classifyResult(combined, BAD)).toBe(false);
  });
});
