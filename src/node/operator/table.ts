/** Plain text tables. */

/** A cell; `undefined` is shown as a dash. */
export type Cell = string | number | boolean | undefined;

/** Lines of a table with a header; columns are as wide as their content. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly Cell[])[],
): readonly string[] {
  const texts = [header, ...rows.map(row => row.map(cellText))];
  const widths = header.map((_, column) =>
    Math.max(...texts.map(row => row[column]?.length ?? 0)),
  );
  return texts.map(row =>
    row
      .map((text, column) => text.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}

function cellText(cell: Cell): string {
  return cell === undefined ? '-' : String(cell);
}

/** A time as `2026-12-04 04:02:00Z`. */
export function formatTime(atMs: number): string {
  return `${new Date(atMs).toISOString().slice(0, 19).replace('T', ' ')}Z`;
}
