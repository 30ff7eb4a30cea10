/** Headers that a proxy passes on. */

/** Headers of one connection, and those that the client writes itself. */
const droppedHeaders = new Set([
  'connection',
  'content-length',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/**
 * Gets the headers that concern both ends, with names in lower case.
 * @param headers - All headers.
 */
export function getEndToEndHeaders(
  headers: Readonly<Record<string, string>>,
): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lowerCase = name.toLowerCase();
    if (!droppedHeaders.has(lowerCase)) kept[lowerCase] = value;
  }
  return kept;
}
