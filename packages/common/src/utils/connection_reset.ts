/** Recognises connections that were reset. */
import type {Socket} from 'node:net';

/**
 * Checks whether a TCP connection was reset. To be called in a listener of the
 * socket's `end` event that runs before the socket is destroyed: libuv reports
 * a reset that arrives together with the last bytes as a normal end, but the
 * connection has no peer address any more. Nothing may have read the address
 * before, since Node.js caches it.
 * @param socket - Socket that has ended.
 */
export function isConnectionReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}
