/** Merges the ledger entries of several archives for one program. */
import type {TurnId} from '@marigoldpost/sites';
import type {LedgerEntry} from './budget_ledger.js';

/**
 * Sums the tokens of all attempts; a settled entry takes precedence over a
 * reserved one of the same attempt.
 * @param lists - Entries of one program, one list per archive.
 */
export function sumMergedTokens(
  lists: ReadonlyArray<readonly LedgerEntry[]>,
): number {
  const merged = new Map<TurnId, LedgerEntry>();
  for (const entry of lists.flat()) {
    const existing = merged.get(entry.attempt);
    if (existing === undefined || (!existing.isSettled && entry.isSettled)) {
      merged.set(entry.attempt, entry);
    }
  }
  let tokens = 0;
  for (const entry of merged.values()) tokens += entry.tokens;
  return tokens;
}
