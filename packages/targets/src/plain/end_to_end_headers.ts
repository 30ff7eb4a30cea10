/** Selection of the headers that a proxy forwards. */

/** Hop-by-hop headers, and those that the HTTP client sets itself. */
const hopByHopHeaders = new Set([
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
 * Gets the end-to-end headers, with names in lower case.
 * @param headers - Headers of a request or a response.
 */
export function getEndToEndHeaders(
  headers: Readonly<Record<string, string>>,
): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lowerCase = name.toLowerCase();
    if (!hopByHopHeaders.has(lowerCase)) kept[lowerCase] = value;
  }
  return kept;
}
