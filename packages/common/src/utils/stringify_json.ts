/** Serializer of untrusted values. */

/**
 * Serializes a parsed JSON value without throwing; undefined when it is nested
 * too deeply, since `JSON.stringify` recurses and `JSON.parse` does not.
 * @param value - Value without cycles.
 */
export function stringifyJson(value: unknown): string | undefined {
  try {
    return JSON.stringify(value);
  } catch {
    return undefined;
  }
}
