/**
 * Decides which part of a tenant's rate a holder may grant. Where the network
 * has split, each part has a holder of its own that does not know the others: the
 * parts share the rate by the data centres that they reach, so their sum never
 * exceeds it.
 */

/** Data centres of the site, and those that a daemon reaches. */
export interface SiteReach {
  readonly reached: number;
  /** Number of all data centres; at least 1. */
  readonly total: number;
}

/** A better-placed entry VM that does not respond. */
export interface AbsentHolder {
  /** Whether its process has surely ended, or has left the quota. */
  readonly hasEnded: boolean;
  /** Time since it was first found silent. */
  readonly silentMs: number;
}

/**
 * Time for which a silent holder may still grant requests to others. It learns
 * sooner that it reaches no other data centre.
 */
export const takeoverDelayMs = 1000;

/**
 * Gets the part of the rate that may be granted, from 0 to 1.
 * @param reach - Data centres that the daemon reaches, its own included.
 * @param absent - Entry VMs that would hold the quota if they responded.
 */
export function getQuotaShare(
  {reached, total}: SiteReach,
  absent: readonly AbsentHolder[],
): number {
  const isEarly = absent.some(
    ({hasEnded, silentMs}) => !hasEnded && silentMs < takeoverDelayMs,
  );
  return isEarly ? 0 : Math.min(1, reached / total);
}
