/** Distinguishes a refused connection from other failures of an exchange. */

const refusedErrorCode = 'ECONNREFUSED';
// Bounds the walk over a chain of causes, which may contain a cycle.
const maxCauseDepth = 16;

/**
 * Checks whether an exchange failed because the connection was refused: the
 * host is up, but no process listens at the peer's address.
 * @param error - Error thrown by `PeerTransport.exchange`.
 */
export function isConnectionRefused(error: unknown): boolean {
  let current = error;
  for (let depth = 0; depth < maxCauseDepth; depth++) {
    if (!(current instanceof Error)) return false;
    if ('code' in current && current.code === refusedErrorCode) return true;
    current = getCause(current);
  }
  return false;
}

/**
 * Creates the error that Node.js throws for a refused connection.
 * @param address - Address without a listener.
 */
export function createConnectionRefusedError(address: string): Error {
  const error = new Error(`connect ${refusedErrorCode} ${address}`);
  return Object.assign(error, {code: refusedErrorCode});
}

function getCause(error: Error): unknown {
  const {cause} = error as {cause?: unknown};
  // VError exposes its cause through a method instead of a property.
  return typeof cause === 'function' ? cause.call(error) : cause;
}
