/** Parser of untrusted JSON. */

/**
 * Parses JSON without throwing; undefined when the text is malformed.
 * @param text - Untrusted text.
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
