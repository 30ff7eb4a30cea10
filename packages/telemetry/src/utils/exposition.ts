/** Pieces of the Prometheus text format. */

function escapeLabel(value: string): string {
  return value
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}

/**
 * Renders labels, as `{a="1",b="2"}`; nothing when there are none.
 * @param labels - Labels by name.
 * @param rendered - Labels rendered before, to be kept in front.
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
 * Renders a sample's value.
 * @param value - Any number.
 */
export function renderValue(value: number): string {
  if (Number.isNaN(value)) return 'NaN';
  if (value === Infinity) return '+Inf';
  if (value === -Infinity) return '-Inf';
  return String(value);
}
