/** Settings of the quarantines of a site's daemons. */
import type {QuarantineEntry} from '@marigoldpost/targets';

/**
 * Target crashes after which a request is quarantined; callers may see at most
 * that many.
 */
export const deathsToQuarantine = 3;
/** Suspicions of earlier runs of a daemon are ignored after this time. */
const maxSuspicionAgeMs = 600_000;
/** Quarantines of earlier runs are ignored after a day. */
const maxQuarantineAgeMs = 86_400_000;

/**
 * Checks whether an entry that an earlier run of a daemon has stored applies.
 * @param entry - Stored entry.
 * @param wallTimeMs - Current time, in milliseconds since 1970.
 */
export function isCurrentEntry(
  entry: QuarantineEntry,
  wallTimeMs: number,
): boolean {
  const {deaths} = entry;
  if (deaths.length === 0) return true;
  const oldestMs = wallTimeMs - getMaxAgeMs(entry);
  return deaths.some(({atMs}) => atMs >= oldestMs);
}

function getMaxAgeMs({deaths, quarantinedDeaths}: QuarantineEntry): number {
  const current = deaths.filter(({isCleared}) => !isCleared).length;
  const isQuarantined =
    Math.max(quarantinedDeaths, current) >= deathsToQuarantine;
  return isQuarantined ? maxQuarantineAgeMs : maxSuspicionAgeMs;
}
