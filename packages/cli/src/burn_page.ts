import type { BurnPoint, BurnReport, BurnRow } from "@anvildeal/core";
import { formatPercent } from "./burn_table.js";

const WIDTH = 560;
const HEIGHT = 150;
const MARGIN_LEFT = 44;
const MARGIN_TOP = 10;
const MARGIN_BOTTOM = 22;
const PLOT_WIDTH = WIDTH - MARGIN_LEFT - 8;
const PLOT_HEIGHT = HEIGHT - MARGIN_TOP - MARGIN_BOTTOM;
/**
 * Distance, in units of the SVG, below which two labels of the vertical axis
 * would overlap.
 */
const MIN_LABEL_DISTANCE = 13;

/**
 * Lowest remaining budget that is plotted, as a fraction; lower values (a
 * larger overrun) are plotted at this value.
 */
const MIN_PLOTTED_BUDGET = -2;

/** Time that the plots cover, ending when the report was made. */
const PLOT_SPAN_MS = 6 * 60 * 60 * 1000;
const MS_PER_HOUR = 60 * 60 * 1000;

const STYLE = `
:root { color-scheme: light dark; --text: #1d2530; --muted: #66717f;
  --line: #d8dee6; --card: #fff; --page: #f4f6f9; --good: #1f7a55;
  --warn: #b06a00; --bad: #b4232f; --plot: #2f62b5; }
@media (prefers-color-scheme: dark) { :root { --text: #e4e9f0;
  --muted: #98a4b3; --line: #36404d; --card: #1c232d; --page: #12171e;
  --good: #52c08f; --warn: #e0a13c; --bad: #f0707a; --plot: #7fa9ee; } }
body { margin: 0 auto; max-width: 1240px; padding: 24px; color: var(--text);
  background: var(--page); font: 15px/1.45 system-ui, sans-serif; }
h1 { font-size: 22px; margin: 0; } h2 { font-size: 17px; margin: 0; }
h3 { font-size: 13px; margin: 0 0 4px; font-weight: 600; }
.muted { color: var(--muted); font-size: 13px; }
section { background: var(--card); border: 1px solid var(--line);
  border-radius: 8px; padding: 16px 20px; margin-top: 16px; }
.top { display: flex; flex-wrap: wrap; gap: 8px 24px; align-items: baseline;
  justify-content: space-between; }
.rates { display: flex; gap: 20px; margin: 10px 0 14px; flex-wrap: wrap; }
.rates b { display: block; font-size: 20px; font-variant-numeric: tabular-nums; }
.plots { display: grid; gap: 20px;
  grid-template-columns: repeat(auto-fit, minmax(340px, 1fr)); }
svg { width: 100%; height: auto; display: block; }
svg text { fill: var(--muted); font-size: 11px; }
.good { color: var(--good); } .warn { color: var(--warn); }
.bad { color: var(--bad); }
.reason { display: grid; gap: 8px; margin: 4px 0;
  grid-template-columns: 170px 1fr 90px; font-size: 13px;
  align-items: center; }
.bar { background: var(--bad); height: 12px; border-radius: 2px; }
.right { text-align: right; font-variant-numeric: tabular-nums; }`;

/**
 * Returns a self-contained HTML page with plots of each objective, the highest
 * burn rate first.
 */
export function renderBurnPage(report: BurnReport): string {
  const rows = [...report.rows].sort((a, b) => severity(b) - severity(a));
  const at = new Date(report.generated_at_ms).toISOString();
  const answered = report.routers.length - report.missing_routers.length;
  const sections = rows.length === 0
    ? "<section>The configuration in force defines no objectives.</section>"
    : rows.map((row) => renderRow(row, report)).join("\n");
  const notes = report.notes
    .map((note) => `<p class="muted">${escapeHtml(note)}</p>`).join("\n");
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Error budget burn ${at}</title>
<style>${STYLE}</style>
</head>
<body>
<div class="top"><h1>Error budget burn</h1>
<span class="muted">${at}, ${answered} of ${report.routers.length} routers,
last 6 h</span></div>
${sections}
<section><h2>About these figures</h2>
<p class="muted">A burn rate of 1 spends exactly the error budget over the
objective's window. The budget spent assumes that every day of the window has
as many events as the last 6 h.</p>
${notes}</section>
</body>
</html>
`;
}

function renderRow(row: BurnRow, report: BurnReport): string {
  const rates = ([
    ["5 min", row.burn_5m],
    ["30 min", row.burn_30m],
    ["1 h", row.burn_1h],
    ["6 h", row.burn_6h],
  ] as const).map(([name, rate]) =>
    `<span><span class="muted">${name}</span>` +
    `<b class="${rateClass(rate)}">${
      rate === null ? "-" : rate.toFixed(2)
    }</b>` +
    "</span>"
  ).join("");
  const spent = formatPercent(row.budget_spent_6h) ?? "-";
  const days = row.days_to_exhaustion === null
    ? "-"
    : `${row.days_to_exhaustion} days`;
  return `<section>
<div class="top"><h2>${escapeHtml(row.objective)}</h2>
<span class="muted">${escapeHtml(row.subject)} &middot; ${
    escapeHtml(row.indicator)
  } &middot; ${formatTarget(row.target)} over ${row.window_days} days
&middot; ${row.good} good, ${row.bad} bad</span></div>
<div class="rates">${rates}
<span><span class="muted">${row.window_days}-day budget spent in the last 6 h</span><b>${spent}</b></span>
<span><span class="muted">whole budget would last, at the rate of the last 1 h</span><b>${days}</b></span></div>
<div class="plots">
<div><h3>Burn rate over time</h3>${renderBurnPlot(row, report)}</div>
<div><h3>Remaining budget of the last 6 h</h3>${
    renderBudgetPlot(row, report)
  }</div>
<div><h3>Bad events by reason</h3>${renderReasons(row)}</div>
</div>
</section>`;
}

/** Formats a fraction as a percentage: 0.999 becomes 99.9%. */
function formatTarget(target: number): string {
  return `${Number((target * 100).toFixed(4))}%`;
}

/**
 * Returns the burn rate by which the objectives are sorted, or -1 if there were
 * no events.
 */
function severity(row: BurnRow): number {
  return row.burn_1h ?? row.burn_6h ?? -1;
}

/**
 * Returns the CSS class for a burn rate. The alert `AnvildealBudgetBurnSlow`
 * fires above a burn rate of 6.
 */
function rateClass(rate: number | null): string {
  if (rate === null) {
    return "muted";
  }
  return rate < 1 ? "good" : rate < 6 ? "warn" : "bad";
}

function renderBurnPlot(row: BurnRow, report: BurnReport): string {
  const rates = row.series.map(({ burn_rate }) => burn_rate);
  const max = Math.max(2, ...rates) * 1.05;
  const y = (rate: number) => yOf(rate, 0, max);
  const points = row.series.map((point) => ({
    atMs: point.at_ms,
    y: y(point.burn_rate),
  }));
  const rateOneY = y(1);
  return renderSvg(
    `burn rate of ${row.objective}`,
    renderAxes(
      report,
      [[max, y(max)], [0, y(0)], [1, rateOneY]].map(([rate, at]) => ({
        label: rate >= 10 ? rate.toFixed(0) : rate.toFixed(1),
        y: at,
      })),
    ) +
      `<line x1="${MARGIN_LEFT}" x2="${MARGIN_LEFT + PLOT_WIDTH}" ` +
      `y1="${fixed(rateOneY)}" y2="${fixed(rateOneY)}" stroke="var(--warn)" ` +
      `stroke-dasharray="4 3"/>` + renderLine(points, report, "var(--plot)"),
  );
}

/**
 * The error budget is the number of bad events that the target allows among all
 * events of the last 6 h. Returns the fraction of the budget that is left at
 * each point.
 */
function remainingBudget(
  series: readonly BurnPoint[],
  target: number,
): { readonly atMs: number; readonly remaining: number }[] {
  const events = series.reduce((sum, { good, bad }) => sum + good + bad, 0);
  const allowedBadEvents = events * (1 - target);
  let spent = 0;
  return series.map(({ at_ms, bad }) => {
    spent += bad;
    const remaining = 1 - spent / allowedBadEvents;
    return { atMs: at_ms, remaining: Math.max(MIN_PLOTTED_BUDGET, remaining) };
  });
}

function renderBudgetPlot(row: BurnRow, report: BurnReport): string {
  const points = remainingBudget(row.series, row.target);
  const min = Math.min(0, ...points.map((point) => point.remaining));
  const y = (fraction: number) => yOf(fraction, min, 1);
  const marks = min < 0 ? [0, 1, min] : [0, 1, 0.5];
  const colour = min < 0 ? "var(--bad)" : "var(--good)";
  return renderSvg(
    `remaining budget of ${row.objective}`,
    renderAxes(
      report,
      marks.map((fraction) => ({
        label: `${(fraction * 100).toFixed(0)}%`,
        y: y(fraction),
      })),
    ) + renderLine(
      points.map((point) => ({ atMs: point.atMs, y: y(point.remaining) })),
      report,
      colour,
    ),
  );
}

function renderReasons({ reasons, bad }: BurnRow): string {
  if (reasons.length === 0) {
    return '<p class="muted">No bad events.</p>';
  }
  return reasons.map(({ reason, count }) => {
    const percent = bad === 0 ? 0 : Math.min(100, count / bad * 100);
    return `<div class="reason"><span>${escapeHtml(reason)}</span>` +
      `<span><div class="bar" style="width:${
        percent.toFixed(1)
      }%"></div></span>` +
      `<span class="right">${count} (${percent.toFixed(0)}%)</span></div>`;
  }).join("\n");
}

function renderSvg(title: string, content: string): string {
  return `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img">` +
    `<title>${escapeHtml(title)}</title>${content}</svg>`;
}

interface AxisMark {
  readonly label: string;
  readonly y: number;
}

/**
 * Leaves out each mark whose label would overlap the label of an earlier mark.
 */
function withoutOverlaps(marks: readonly AxisMark[]): AxisMark[] {
  const kept: AxisMark[] = [];
  for (const mark of marks) {
    if (kept.every(({ y }) => Math.abs(y - mark.y) >= MIN_LABEL_DISTANCE)) {
      kept.push(mark);
    }
  }
  return kept;
}

function renderAxes(
  { generated_at_ms }: BurnReport,
  marks: readonly AxisMark[],
): string {
  const grid = withoutOverlaps(marks).map(({ label, y }) =>
    `<line x1="${MARGIN_LEFT}" x2="${MARGIN_LEFT + PLOT_WIDTH}" ` +
    `y1="${fixed(y)}" y2="${fixed(y)}" stroke="var(--line)"/>` +
    `<text x="${MARGIN_LEFT - 6}" y="${fixed(y + 4)}" text-anchor="end">` +
    `${label}</text>`
  );
  const times = [6, 4, 2, 0].map((hours) => {
    const x = xOf(generated_at_ms - hours * MS_PER_HOUR, generated_at_ms);
    const anchor = hours === 0 ? "end" : "middle";
    const label = hours === 0 ? "now" : `-${hours} h`;
    return `<text x="${fixed(x)}" y="${HEIGHT - 6}" text-anchor="${anchor}">` +
      `${label}</text>`;
  });
  return [...grid, ...times].join("");
}

interface PlotPoint {
  readonly atMs: number;
  readonly y: number;
}

/**
 * Returns a line with a dot at each point; the line has gaps where there were
 * no events.
 */
function renderLine(
  points: readonly PlotPoint[],
  { generated_at_ms, series_step_ms }: BurnReport,
  colour: string,
): string {
  let path = "";
  let lastMs = Number.NEGATIVE_INFINITY;
  for (const { atMs, y } of points) {
    const x = xOf(atMs + series_step_ms / 2, generated_at_ms);
    const command = atMs - lastMs > series_step_ms ? "M" : "L";
    path += `${command}${fixed(x)} ${fixed(y)}`;
    lastMs = atMs;
  }
  const dots = points.map(({ atMs, y }) => {
    const x = xOf(atMs + series_step_ms / 2, generated_at_ms);
    return `<circle cx="${fixed(x)}" cy="${fixed(y)}" r="2" ` +
      `fill="${colour}"/>`;
  });
  return `<path d="${path}" fill="none" stroke="${colour}" ` +
    `stroke-width="2"/>${dots.join("")}`;
}

/** Formats a coordinate with one decimal place. */
function fixed(coordinate: number): string {
  return coordinate.toFixed(1);
}

function xOf(atMs: number, endMs: number): number {
  const fraction = 1 - (endMs - atMs) / PLOT_SPAN_MS;
  return MARGIN_LEFT + PLOT_WIDTH * Math.min(1, Math.max(0, fraction));
}

function yOf(value: number, min: number, max: number): number {
  return MARGIN_TOP + PLOT_HEIGHT * (1 - (value - min) / (max - min));
}

const ENTITIES: Readonly<Record<string, string>> = {
  "&": "&amp;",
  "<": "&lt;",
  ">": "&gt;",
  '"': "&quot;",
};

function escapeHtml(text: string): string {
  return text.replace(/[&<>"]/g, (character) => ENTITIES[character]);
}
