import type { BurnReport, BurnRow } from "@anvildeal/core";
import { formatTable } from "./table.js";

/** Formats the burn report as a table, followed by the notes of the report. */
export function formatBurnTable({ rows, notes }: BurnReport): string {
  const table = rows.length === 0
    ? "The configuration in force defines no objectives."
    : formatTable(rows.map(toTableRow));
  return [table, "", ...notes].join("\n");
}

function toTableRow(row: BurnRow): Record<string, unknown> {
  return {
    objective: row.objective,
    subject: row.subject,
    indicator: row.indicator,
    target: row.target,
    "5m": row.burn_5m,
    "30m": row.burn_30m,
    "1h": row.burn_1h,
    "6h": row.burn_6h,
    good: row.good,
    bad: row.bad,
    "budget spent": formatPercent(row.budget_spent_6h),
    "spent by": row.reasons
      .map(({ reason, count }) => `${reason} ${count}`)
      .join(", ") || undefined,
  };
}

/**
 * Formats a fraction as a percentage; returns undefined for null, which means
 * that there were no events.
 */
export function formatPercent(fraction: number | null): string | undefined {
  return fraction === null ? undefined : `${(fraction * 100).toFixed(2)}%`;
}
