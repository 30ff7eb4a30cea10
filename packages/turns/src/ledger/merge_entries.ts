/** What a program holds when the ledgers of several archives are put together. */
import type {TurnId} from '@marigoldpost/sites';
import type {LedgerEntry} from './budget_ledger.js';

/**
 * Gets the tokens that all entries hold; a settled entry goes before an open
 * one of the same attempt.
 * @param lists - Entries of one program, a list an archive.
 */
export function sumMergedTokens(
  lists: ReadonlyArray<readonly LedgerEntry[]>,
): number {
  const merged = new Map<TurnId, LedgerEntry>();
  for (const entry of lists.flat()) {
    const known = merged.get(entry.attempt);
    if (known === undefined || (!known.isSettled && entry.isSettled)) {
      merged.set(entry.attempt, entry);
    }
  }
  let tokens = 0;
  for (const entry of merged.values()) tokens += entry.tokens;
  return tokens;
}
