/** Statuses that tell a client that its request has not run, and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Checks whether a status says that the request has not run.
 * @param status - The status.
 */
export function saysNotRun(status: number): boolean {
  return notRunStatuses.has(status);
}
