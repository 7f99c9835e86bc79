/**
 * Formats a text table. The first column is left-aligned and the others are
 * right-aligned.
 */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const allRows = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...allRows.map((row) => (row[column] ?? "").length))
  );
  return allRows.map((row) =>
    row.map((cell, column) =>
      column === 0
        ? cell.padEnd(widths[column] ?? 0)
        : cell.padStart(widths[column] ?? 0)
    ).join("  ").trimEnd()
  ).join("\n");
}
