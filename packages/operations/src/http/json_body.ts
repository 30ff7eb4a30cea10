/** Conversion of typed values to JSON bodies. */

/**
 * Converts field names to snake case, as in all JSON bodies.
 * @param value - Value in which the keys of every object are field names.
 */
export function toJsonBody(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(toJsonBody);
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value).map(([name, inner]) => [
    name.replaceAll(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`),
    toJsonBody(inner),
  ]);
  return Object.fromEntries(entries) as unknown;
}
