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
  const entries = Object.entries(headers).map(
    ([name, value]) => [name.toLowerCase(), value] as const,
  );
  return Object.fromEntries(
    entries.filter(([name]) => !droppedHeaders.has(name)),
  );
}
