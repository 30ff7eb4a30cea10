/** Which headers pass between callers and plain services. */
import type {IncomingHttpHeaders} from 'node:http';

const connectionHeaders: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** The caller's key is the system's business, not the service's. */
const ownHeaders: ReadonlySet<string> = new Set(['authorization', 'cookie']);
const ownPrefix = 'marigoldpost-';

function passes(name: string): boolean {
  if (connectionHeaders.has(name) || ownHeaders.has(name)) return false;
  return !name.startsWith(ownPrefix);
}

/**
 * Gets the headers of a request that a plain service gets.
 * @param headers - Headers as they came.
 */
export function getForwardedHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string> {
  const kept = Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined || !passes(name)) return [];
    return [[name, Array.isArray(value) ? value.join(', ') : value] as const];
  });
  return Object.fromEntries(kept);
}

/**
 * Gets the headers of a plain service's answer that the caller gets.
 * @param headers - Headers as they came.
 */
export function getReturnedHeaders(
  headers: Readonly<Record<string, string>>,
): [string, string][] {
  return Object.entries(headers).filter(([name]) => passes(name.toLowerCase()));
}
