/** Resets client connections. */
import type {Socket} from 'node:net';

/**
 * Resets a connection, or destroys it if it has been ended, since such a
 * connection can no longer be reset.
 * @param socket - Socket of the connection.
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
