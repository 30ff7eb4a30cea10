/** Statuses that tell a client that its request did not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Checks whether a response status guarantees that the request did not run.
 * @param status - HTTP status code.
 */
export function isNotRunStatus(status: number): boolean {
  return notRunStatuses.has(status);
}
