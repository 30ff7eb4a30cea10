/** Renders tables of plain text for terminals. */

/** Title of a column and the value of its cells. */
export interface Column<Row> {
  readonly title: string;
  /**
   * Gets the value of a cell; `-` is shown for `null`, `undefined` and `[]`.
   * @param row - Row of the cell.
   */
  get(row: Row): unknown;
}

const columnSeparator = '  ';

function formatCell(value: unknown): string {
  if (value === undefined || value === null) return '-';
  if (typeof value === 'boolean') return value ? 'yes' : 'no';
  if (Array.isArray(value)) return value.length === 0 ? '-' : value.join(', ');
  return String(value);
}

/**
 * Renders rows as a table with aligned columns.
 * @param rows - Rows from top to bottom.
 * @param columns - Columns from left to right.
 */
export function renderTable<Row>(
  rows: readonly Row[],
  columns: readonly Column<Row>[],
): string {
  const titles = columns.map(({title}) => title);
  const cells = rows.map((row) =>
    columns.map((column) => formatCell(column.get(row))),
  );
  const widths = titles.map((title, index) =>
    Math.max(title.length, ...cells.map((line) => line[index]?.length ?? 0)),
  );
  const renderLine = (line: readonly string[]) =>
    line
      .map((cell, index) => cell.padEnd(widths[index] ?? 0))
      .join(columnSeparator)
      .trimEnd();
  return [titles, ...cells].map(renderLine).join('\n');
}

/**
 * Renders an age in seconds, as `1.5 s`.
 * @param ageMs - Age in milliseconds.
 */
export function renderAge(ageMs: number): string {
  return `${(ageMs / 1000).toFixed(1)} s`;
}
