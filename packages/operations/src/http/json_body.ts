/** Typed values as JSON bodies. */

/**
 * Gets a value with its field names in snake case, as all bodies have them.
 * @param value - Value of which every object is a record of named fields.
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
