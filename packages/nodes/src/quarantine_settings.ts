/** Settings of the quarantines of a site's daemons. */

/**
 * Target crashes after which a request is quarantined; callers may see at most
 * that many.
 */
export const deathsToQuarantine = 3;
