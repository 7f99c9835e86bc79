import type { Millis } from "../clock.js";
import type { Objective } from "../config/index.js";
import type { BurnSnapshot, ObjectiveEvents } from "./burn_snapshot.js";
import { BURN_WINDOWS, definitionOf, SERIES_STEP_MS } from "./burn_store.js";
import { RETENTION_MS } from "./burn_window.js";

const MS_PER_DAY = 24 * 60 * 60 * 1000;

/** Maximum number of reasons that a report lists for an objective. */
const MAX_REPORT_REASONS = 5;

/** A listed router and its event counts. */
export interface RouterSnapshot {
  readonly routerId: string;
  /** Undefined if the router did not answer. */
  readonly snapshot: BurnSnapshot | undefined;
}

export interface BurnPoint {
  readonly at_ms: Millis;
  readonly good: number;
  readonly bad: number;
  readonly burn_rate: number;
}

/** Burn rates of one objective; a rate is null if its window has no events. */
export interface BurnRow {
  readonly objective: string;
  readonly subject: string;
  readonly indicator: string;
  readonly target: number;
  readonly window_days: number;
  readonly burn_5m: number | null;
  readonly burn_30m: number | null;
  readonly burn_1h: number | null;
  readonly burn_6h: number | null;
  /** Number of good events in the last 6 h. */
  readonly good: number;
  /** Number of bad events in the last 6 h. */
  readonly bad: number;
  /**
   * Share of the objective's error budget that the last 6 h spent. The budget is
   * that of the whole window, estimated as if events came at the rate of the
   * last 6 h throughout.
   */
  readonly budget_spent_6h: number | null;
  /** Whole days until the budget is spent at the rate of the last hour. */
  readonly days_to_exhaustion: number | null;
  readonly reasons: readonly {
    readonly reason: string;
    readonly count: number;
  }[];
  readonly series: readonly BurnPoint[];
}

export interface BurnReport {
  readonly report: "burn";
  readonly generated_at_ms: Millis;
  readonly series_step_ms: Millis;
  readonly routers: readonly {
    readonly router_id: string;
    readonly since_ms: Millis | null;
  }[];
  readonly missing_routers: readonly string[];
  readonly notes: readonly string[];
  readonly rows: readonly BurnRow[];
}

/** Sums the event counts of all routers for each objective. */
export function createBurnReport(
  objectives: readonly Objective[],
  routers: readonly RouterSnapshot[],
  wallMs: Millis,
): BurnReport {
  const missingIds = routers
    .filter(({ snapshot }) => snapshot === undefined)
    .map(({ routerId }) => routerId);
  return {
    report: "burn",
    generated_at_ms: wallMs,
    series_step_ms: SERIES_STEP_MS,
    routers: routers.map(({ routerId, snapshot }) => ({
      router_id: routerId,
      since_ms: snapshot?.sinceMs ?? null,
    })),
    missing_routers: missingIds,
    notes: notesOf(routers, missingIds, wallMs),
    rows: objectives.map((objective) => rowOf(objective, routers)),
  };
}

function notesOf(
  routers: readonly RouterSnapshot[],
  missing: readonly string[],
  wallMs: Millis,
): string[] {
  const notes = [
    "Routers keep events in memory for 6 h. The events that a replaced router " +
    "had counted are lost and are not in this report.",
  ];
  if (missing.length > 0) {
    notes.push(
      `No answer from ${missing.join(", ")}: their events are missing.`,
    );
  }
  const recentlyStarted = routers.filter(({ snapshot }) =>
    snapshot !== undefined && snapshot.sinceMs > wallMs - RETENTION_MS
  );
  if (recentlyStarted.length > 0) {
    const ids = recentlyStarted.map(({ routerId, snapshot }) =>
      `${routerId} (since ${new Date(snapshot!.sinceMs).toISOString()})`
    );
    notes.push(`Counting for less than 6 h: ${ids.join(", ")}.`);
  }
  return notes;
}

function rowOf(
  objective: Objective,
  routers: readonly RouterSnapshot[],
): BurnRow {
  const definition = definitionOf(objective);
  // A router with another configuration version may define the objective of
  // this name differently; its counts are left out.
  const countsPerRouter = routers.flatMap(({ snapshot }) =>
    snapshot?.objectives.filter((events) =>
      events.name === objective.name && events.definition === definition
    ) ?? []
  );
  const windows = BURN_WINDOWS.map((_, index) =>
    sumWindow(countsPerRouter, index)
  );
  const rates = windows.map(([good, bad]) => burnRate(objective, good, bad));
  const [rate5m, rate30m, rate1h, rate6h] = rates.map(roundRate);
  const [good, bad] = windows[windows.length - 1];
  const windowMs = objective.window_days * MS_PER_DAY;
  return {
    objective: objective.name,
    subject: subjectOf(objective),
    indicator: indicatorOf(objective),
    target: objective.target,
    window_days: objective.window_days,
    burn_5m: rate5m,
    burn_30m: rate30m,
    burn_1h: rate1h,
    burn_6h: rate6h,
    good,
    bad,
    budget_spent_6h: roundRate(
      rates[3] === null ? null : rates[3] * RETENTION_MS / windowMs,
    ),
    days_to_exhaustion: rates[2] === null || rates[2] === 0
      ? null
      : Math.floor(objective.window_days / rates[2]),
    reasons: sumReasons(countsPerRouter),
    series: sumSeries(objective, countsPerRouter),
  };
}

function subjectOf({ account, pool }: Objective): string {
  const names = [
    account === undefined ? "" : `account ${account}`,
    pool === undefined ? "" : `pool ${pool}`,
  ].filter((name) => name !== "");
  return names.length === 0 ? "all requests" : names.join(", ");
}

function indicatorOf({ indicator, threshold_ms }: Objective): string {
  return threshold_ms === undefined
    ? indicator
    : `${indicator} <= ${threshold_ms} ms`;
}

/** Fraction of bad events as a multiple of the fraction that is allowed. */
function burnRate(
  { target }: Objective,
  good: number,
  bad: number,
): number | null {
  return good + bad === 0 ? null : bad / (good + bad) / (1 - target);
}

function roundRate(value: number | null): number | null {
  const STEPS_PER_UNIT = 10_000;
  return value === null
    ? null
    : Math.round(value * STEPS_PER_UNIT) / STEPS_PER_UNIT;
}

function sumWindow(
  countsPerRouter: readonly ObjectiveEvents[],
  index: number,
): [number, number] {
  let good = 0;
  let bad = 0;
  for (const { windows } of countsPerRouter) {
    const [routerGood, routerBad] = windows[index] ?? [0, 0];
    good += routerGood;
    bad += routerBad;
  }
  return [good, bad];
}

function sumReasons(
  countsPerRouter: readonly ObjectiveEvents[],
): BurnRow["reasons"] {
  const sums = new Map<string, number>();
  for (
    const [reason, count] of countsPerRouter.flatMap(({ reasons }) => reasons)
  ) {
    sums.set(reason, (sums.get(reason) ?? 0) + count);
  }
  return [...sums]
    .map(([reason, count]) => ({ reason, count }))
    .sort((a, b) => b.count - a.count || (a.reason < b.reason ? -1 : 1))
    .slice(0, MAX_REPORT_REASONS);
}

function sumSeries(
  objective: Objective,
  countsPerRouter: readonly ObjectiveEvents[],
): BurnPoint[] {
  const steps = new Map<number, { good: number; bad: number }>();
  for (
    const [step, good, bad] of countsPerRouter.flatMap(({ series }) => series)
  ) {
    const sum = steps.get(step) ?? { good: 0, bad: 0 };
    sum.good += good;
    sum.bad += bad;
    steps.set(step, sum);
  }
  return [...steps].sort((a, b) => a[0] - b[0]).map(([step, counts]) => ({
    at_ms: step * SERIES_STEP_MS,
    ...counts,
    burn_rate: roundRate(burnRate(objective, counts.good, counts.bad)) ?? 0,
  }));
}
