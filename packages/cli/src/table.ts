/**
 * Formats rows as aligned columns below a heading; `-` stands for a missing
 * value.
 */
export function formatTable(
  rows: readonly Readonly<Record<string, unknown>>[],
  columns = [...new Set(rows.flatMap((row) => Object.keys(row)))],
): string {
  const lines = [
    columns,
    ...rows.map((row) => columns.map((c) => formatCell(row[c]))),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...lines.map((line) => line[index].length))
  );
  return lines
    .map((line) =>
      line.map((text, index) => text.padEnd(widths[index])).join("  ").trimEnd()
    )
    .join("\n");
}

function formatCell(value: unknown): string {
  if (value === undefined || value === null) {
    return "-";
  }
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}
