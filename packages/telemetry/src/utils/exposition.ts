/** Rendering of labels and values in the Prometheus text format. */

function escapeLabel(value: string): string {
  return value
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}

/**
 * Renders labels as `{a="1",b="2"}`; empty text without labels.
 * @param labels - Label values by name.
 * @param rendered - Rendered labels that are put first.
 */
export function renderLabels(
  labels: Readonly<Record<string, string>>,
  rendered = '',
): string {
  const added = Object.entries(labels).map(
    ([name, value]) => `${name}="${escapeLabel(value)}"`,
  );
  const kept = rendered === '' ? [] : [rendered.slice(1, -1)];
  const all = [...kept, ...added];
  return all.length === 0 ? '' : `{${all.join(',')}}`;
}

/**
 * Renders the value of a sample.
 * @param value - Any number, also NaN and infinities.
 */
export function renderValue(value: number): string {
  if (Number.isNaN(value)) return 'NaN';
  if (value === Infinity) return '+Inf';
  if (value === -Infinity) return '-Inf';
  return String(value);
}
