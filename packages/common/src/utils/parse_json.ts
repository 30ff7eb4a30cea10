/** Untrusted JSON. */

/**
 * Gets the value of a JSON text, or nothing when it is malformed.
 * @param text - Untrusted text.
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
