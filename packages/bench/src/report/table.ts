/** Formats a text table: first column left-aligned, others right-aligned. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const all = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...all.map((row) => (row[column] ?? "").length))
  );
  return all.map((row) =>
    row.map((cell, column) =>
      column === 0
        ? cell.padEnd(widths[column] ?? 0)
        : cell.padStart(widths[column] ?? 0)
    ).join("  ").trimEnd()
  ).join("\n");
}
