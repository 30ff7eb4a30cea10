/** Tells a refused connection from other failures of an exchange. */

const refusedCode = 'ECONNREFUSED';
// A chain of causes longer than this is cut off, in case it has a cycle.
const maxCauses = 16;

/**
 * Checks whether an exchange failed because nothing listens at the peer's
 * address: the host answered, the process is gone.
 * @param error - Error thrown by `PeerTransport.exchange`.
 */
export function isConnectionRefused(error: unknown): boolean {
  let current = error;
  for (let depth = 0; depth < maxCauses; depth++) {
    if (!(current instanceof Error)) return false;
    if ('code' in current && current.code === refusedCode) return true;
    current = getCause(current);
  }
  return false;
}

/**
 * Creates the error that Node gives for a refused connection.
 * @param address - Where nothing listens.
 */
export function createRefusedError(address: string): Error {
  const error = new Error(`connect ${refusedCode} ${address}`);
  return Object.assign(error, {code: refusedCode});
}

function getCause(error: Error): unknown {
  const {cause} = error as {cause?: unknown};
  // VError keeps its cause behind a method of that name.
  return typeof cause === 'function' ? cause.call(error) : cause;
}
