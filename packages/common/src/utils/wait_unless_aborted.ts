/** Ends the wait for a promise when a signal is aborted. */

/**
 * Waits for a promise. The work behind it goes on after an abort; its result
 * and its failure are ignored then.
 * @param work - Promise to wait for.
 * @param signal - Its abort ends the wait.
 * @param createError - Creates the error that the wait ends with.
 */
export async function waitUnlessAborted<Value>(
  work: Promise<Value>,
  signal: AbortSignal,
  createError: () => Error,
): Promise<Value> {
  work.catch(() => undefined);
  if (signal.aborted) throw createError();
  let onAbort = () => {};
  const aborted = new Promise<never>((_resolve, reject) => {
    onAbort = () => reject(createError());
    signal.addEventListener('abort', onAbort, {once: true});
  });
  try {
    return await Promise.race([work, aborted]);
  } finally {
    signal.removeEventListener('abort', onAbort);
  }
}
