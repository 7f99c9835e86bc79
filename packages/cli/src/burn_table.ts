import type { BurnReport, BurnRow } from "@anvildeal/core";
import { formatTable } from "./table.js";

/** The burn report as a table with its notes below. */
export function formatBurn({ rows, notes }: BurnReport): string {
  const table = rows.length === 0
    ? "The configuration in force has no objectives."
    : formatTable(rows.map(tableRow));
  return [table, "", ...notes].join("\n");
}

function tableRow(row: BurnRow): Record<string, unknown> {
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

/** A share as a percentage; undefined without events. */
export function formatPercent(share: number | null): string | undefined {
  return share === null ? undefined : `${(share * 100).toFixed(2)}%`;
}
