/** Markdown tables and figures. */

/** The cells of one row. */
export type Row = readonly string[];

/** A table with its heading. */
export function table(head: Row, rows: readonly Row[]): string {
  const line = (cells: Row): string => `| ${cells.join(' | ')} |`;
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join(
    '\n',
  );
}

/** A number with three significant digits. */
export function figure(value: number): string {
  const rounded = Number(value.toPrecision(3));
  return rounded.toLocaleString('en-US', {maximumFractionDigits: 4});
}

/** A share as a percentage. */
export function percent(share: number): string {
  return `${figure(100 * share)}%`;
}
