/** Filters the headers that are forwarded between callers and services. */
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

/** Credentials are for this system, so services must not receive them. */
const credentialHeaders: ReadonlySet<string> = new Set([
  'authorization',
  'cookie',
]);
const reservedPrefix = 'marigoldpost-';

function isForwarded(name: string): boolean {
  if (connectionHeaders.has(name) || credentialHeaders.has(name)) return false;
  return !name.startsWith(reservedPrefix);
}

/**
 * Gets the request headers to forward to a plain service.
 * @param headers - Headers of the caller's request.
 */
export function getForwardedHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string> {
  const kept = Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined || !isForwarded(name)) return [];
    return [[name, Array.isArray(value) ? value.join(', ') : value] as const];
  });
  return Object.fromEntries(kept);
}

/**
 * Gets the response headers to return to the caller.
 * @param headers - Headers of the service's response.
 */
export function getReturnedHeaders(
  headers: Readonly<Record<string, string>>,
): [string, string][] {
  return Object.entries(headers).filter(([name]) =>
    isForwarded(name.toLowerCase()),
  );
}
