import type { Millis } from "../clock.js";
import type { Objective } from "../config/index.js";
import type { BurnSnapshot, ObjectiveEvents } from "./burn_snapshot.js";
import { BurnWindow, type EventCounts, RETENTION_MS } from "./burn_window.js";
import { badEventReason, classifyResult } from "./classify_result.js";
import type { RequestResult } from "./request_result.js";

const MINUTE_MS: Millis = 60_000;

/** Windows of the burn rates, shortest first. */
export const BURN_WINDOWS = [
  { name: "5m", spanMs: 5 * MINUTE_MS },
  { name: "30m", spanMs: 30 * MINUTE_MS },
  { name: "1h", spanMs: 60 * MINUTE_MS },
  { name: "6h", spanMs: RETENTION_MS },
] as const;

/** Interval between the points of a series. */
export const SERIES_STEP_MS: Millis = 5 * MINUTE_MS;

/** Maximum number of reasons in a snapshot for an objective. */
const MAX_SNAPSHOT_REASONS = 32;

interface ObjectiveEntry {
  readonly objective: Objective;
  readonly definition: string;
  readonly window: BurnWindow;
  readonly totals: EventCounts;
}

/** Events of an objective since this process started to count them. */
export interface ObjectiveTotals extends Readonly<EventCounts> {
  readonly name: string;
  readonly target: number;
}

/**
 * Counts good and bad events of the objectives at one router. Memory use
 * depends only on the number of objectives, not on accounts or requests.
 */
export class BurnStore {
  #entries = new Map<string, ObjectiveEntry>();

  constructor(private readonly sinceMs: Millis) {}

  /** Replaces the objectives; changed ones start without events. */
  setObjectives(objectives: readonly Objective[]): void {
    const entries = new Map<string, ObjectiveEntry>();
    for (const objective of objectives) {
      const definition = definitionOf(objective);
      const knownEntry = this.#entries.get(objective.name);
      const { window, totals } = knownEntry?.definition === definition
        ? knownEntry
        : { window: new BurnWindow(), totals: { good: 0, bad: 0 } };
      entries.set(objective.name, { objective, definition, window, totals });
    }
    this.#entries = entries;
  }

  /** Counts a result as an event of each objective that it belongs to. */
  record(result: RequestResult, wallMs: Millis): void {
    for (const { objective, window, totals } of this.#entries.values()) {
      const isGood = classifyResult(objective, result);
      if (isGood === true) {
        window.addGood(wallMs);
        totals.good++;
      } else if (isGood === false) {
        window.addBad(wallMs, badEventReason(objective, result));
        totals.bad++;
      }
    }
  }

  totals(): ObjectiveTotals[] {
    return [...this.#entries.values()].map(({ objective, totals }) => ({
      name: objective.name,
      target: objective.target,
      ...totals,
    }));
  }

  snapshot(wallMs: Millis): BurnSnapshot {
    return {
      sinceMs: this.sinceMs,
      objectives: [...this.#entries.values()].map((entry) =>
        eventsOf(entry, wallMs)
      ),
    };
  }
}

/** Text that is equal for equal definitions, whatever the order of keys. */
export function definitionOf(objective: Objective): string {
  const { account, pool, indicator, threshold_ms, target } = objective;
  return JSON.stringify([account, pool, indicator, threshold_ms, target]);
}

function eventsOf(
  { objective, definition, window }: ObjectiveEntry,
  wallMs: Millis,
): ObjectiveEvents {
  return {
    name: objective.name,
    definition,
    windows: BURN_WINDOWS.map(({ spanMs }) => {
      const { good, bad } = window.count(wallMs - spanMs, wallMs);
      return [good, bad];
    }),
    series: seriesOf(window, wallMs),
    reasons: [...window.reasons(wallMs)]
      .sort((a, b) => b[1] - a[1])
      .slice(0, MAX_SNAPSHOT_REASONS),
  };
}

function seriesOf(
  window: BurnWindow,
  wallMs: Millis,
): ObjectiveEvents["series"] {
  const lastStep = Math.floor(wallMs / SERIES_STEP_MS);
  const firstStep = lastStep - RETENTION_MS / SERIES_STEP_MS + 1;
  const series: ObjectiveEvents["series"] = [];
  for (let step = firstStep; step <= lastStep; step++) {
    const startMs = step * SERIES_STEP_MS;
    // `count` excludes the bucket of `fromMs`, so 1 ms is subtracted to include
    // the first bucket of this step.
    const { good, bad } = window.count(
      startMs - 1,
      Math.min(startMs + SERIES_STEP_MS - 1, wallMs),
    );
    if (good + bad > 0) {
      series.push([step, good, bad]);
    }
  }
  return series;
}
