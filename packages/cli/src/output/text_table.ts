/** Tables for terminals. */

/** One column. */
export interface Column<Row> {
  readonly title: string;
  /**
   * Gets a row's cell.
   * @param row - The row.
   */
  get(row: Row): unknown;
}

const gap = '  ';

function toCell(value: unknown): string {
  if (value === undefined || value === null) return '-';
  if (typeof value === 'boolean') return value ? 'yes' : 'no';
  if (Array.isArray(value)) return value.length === 0 ? '-' : value.join(', ');
  return String(value);
}

/**
 * Renders rows as a table with aligned columns.
 * @param rows - The rows.
 * @param columns - The columns.
 */
export function renderTable<Row>(
  rows: readonly Row[],
  columns: readonly Column<Row>[],
): string {
  const titles = columns.map(({title}) => title);
  const cells = rows.map((row) =>
    columns.map((column) => toCell(column.get(row))),
  );
  const widths = titles.map((title, index) =>
    Math.max(title.length, ...cells.map((line) => line[index]?.length ?? 0)),
  );
  const toLine = (line: readonly string[]) =>
    line
      .map((cell, index) => cell.padEnd(widths[index] ?? 0))
      .join(gap)
      .trimEnd();
  return [titles, ...cells].map(toLine).join('\n');
}

/**
 * Renders an age.
 * @param ageMs - The age in milliseconds.
 */
export function renderAge(ageMs: number): string {
  return `${(ageMs / 1000).toFixed(1)} s`;
}
