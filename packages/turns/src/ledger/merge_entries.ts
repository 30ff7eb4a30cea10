/** Merges the ledger entries of several archives for one program. */
import type {TurnId} from '@marigoldpost/sites';
import type {LedgerEntry} from './budget_ledger.js';

/** Tokens of the attempts of one program. */
export interface MergedTokens {
  /** Tokens that attempts have used. */
  readonly settledTokens: number;
  /** Tokens that attempts have used, or may use for all that is known. */
  readonly heldTokens: number;
  /** Those of `heldTokens` that no attempt in progress may release. */
  readonly firmTokens: number;
  /** Attempts that hold tokens and are not settled. */
  readonly openAttempts: number;
}

/**
 * Sums the tokens of all attempts. Of the entries of one attempt, a settled one
 * takes precedence over one that is confirmed, that over one that may lapse, and
 * that over one that the object API alone has told of.
 * @param lists - Entries of one program, one list per archive.
 */
export function sumMergedTokens(
  lists: ReadonlyArray<readonly LedgerEntry[]>,
): MergedTokens {
  const merged = new Map<TurnId, LedgerEntry>();
  for (const entry of lists.flat()) {
    const existing = merged.get(entry.attempt);
    if (existing === undefined || takesPrecedence(entry, existing)) {
      merged.set(entry.attempt, entry);
    }
  }
  const entries = [...merged.values()];
  const open = entries.filter(
    ({isSettled, lapseMs}) => !isSettled && lapseMs !== 0,
  );
  const inProgress = open.filter(
    ({lapseMs, openMs = 0}) => lapseMs !== undefined || openMs > 0,
  );
  const settledTokens = sumTokens(entries.filter(({isSettled}) => isSettled));
  const heldTokens = settledTokens + sumTokens(open);
  return {
    settledTokens,
    heldTokens,
    firmTokens: heldTokens - sumTokens(inProgress),
    openAttempts: open.length,
  };
}

function takesPrecedence(entry: LedgerEntry, other: LedgerEntry): boolean {
  const difference = getRank(entry) - getRank(other);
  if (difference !== 0) return difference > 0;
  return (entry.openMs ?? 0) > (other.openMs ?? 0);
}

function getRank({isSettled, lapseMs, isReported}: LedgerEntry): number {
  if (isSettled) return 4;
  if (isReported === true) return 0;
  if (lapseMs === undefined) return 3;
  return lapseMs > 0 ? 2 : 1;
}

function sumTokens(entries: readonly LedgerEntry[]): number {
  return entries.reduce((sum, {tokens}) => sum + tokens, 0);
}
