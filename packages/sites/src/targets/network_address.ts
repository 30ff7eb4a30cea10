/** TCP endpoints and their text form. */
import {isIPv4} from 'node:net';

const maxPort = 65_535;
const httpPrefix = 'http://';

/** Host and port of a TCP endpoint. */
export interface NetworkAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Parses an address of the form `ip:port`; `undefined` unless a connection to
 * it can be attempted.
 * @param text - IPv4 address and port without surrounding spaces.
 */
export function parseNetworkAddress(text: string): NetworkAddress | undefined {
  const [, host = '', digits = ''] =
    /^([\d.]{7,15}):(\d{1,5})$/.exec(text) ?? [];
  const port = Number(digits);
  if (!isIPv4(host) || port < 1 || port > maxPort) return undefined;
  return {host, port};
}

/**
 * Checks that a text has the form `http://<ip>:<port>`.
 * @param text - Address that another daemon has registered.
 */
export function isHttpAddress(text: string): boolean {
  if (!text.startsWith(httpPrefix)) return false;
  return parseNetworkAddress(text.slice(httpPrefix.length)) !== undefined;
}
