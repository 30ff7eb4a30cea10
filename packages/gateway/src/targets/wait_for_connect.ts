/** Finds out whether a connection can be opened. */
import type {Socket} from 'node:net';
import type {Clock} from '@marigoldpost/common';

/** Connect timeout; far above the round trip between data centres. */
export const connectTimeoutMs = 120;

/**
 * Waits until a socket is connected, then closes it; false if it does not
 * connect in time.
 * @param socket - Socket that is connecting.
 * @param clock - Clock of the time-out.
 */
export async function waitForConnect(
  socket: Socket,
  clock: Clock,
): Promise<boolean> {
  const isConnected = await new Promise<boolean>((resolve) => {
    // A process that has not run for a while handles timers first, then the
    // connections that have opened meanwhile, then immediates.
    const timer = clock.setTimer(connectTimeoutMs, () => {
      setImmediate(() => resolve(false));
    });
    socket.once('error', () => resolve(false));
    socket.once('connect', () => {
      timer.cancel();
      resolve(true);
    });
  });
  socket.destroy();
  return isConnected;
}

/**
 * Finds out whether a connection can be opened; false also if no connection can
 * be attempted.
 * @param open - Opens the connection; may throw.
 * @param clock - Clock of the time-out.
 */
export async function canConnect(
  open: () => Socket,
  clock: Clock,
): Promise<boolean> {
  try {
    return await waitForConnect(open(), clock);
  } catch {
    // Node.js throws on ports out of range instead of an event.
    return false;
  }
}
