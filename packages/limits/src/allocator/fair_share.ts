/** Max-min fair division of an amount among holders. */

/** Demand of one holder. */
export interface Demand {
  readonly holder: string;
  /** Whole units wanted. */
  readonly wanted: number;
  /** Order in which the remainder is distributed; the lowest goes first. */
  readonly rank: number;
}

/**
 * Divides whole units with max-min fairness: no share exceeds its demand, and a
 * share could only grow at the expense of one that is not larger.
 * @param units - Whole units to divide.
 * @param demands - Demand of each holder.
 */
export function divideFairly(
  units: number,
  demands: readonly Demand[],
): Map<string, number> {
  const shares = new Map<string, number>();
  const byWanted = [...demands].sort(
    (left, right) => left.wanted - right.wanted,
  );
  let left = units;
  let remainingHolders = byWanted.length;
  const unsatisfied: Demand[] = [];
  for (const demand of byWanted) {
    const equalShare = Math.floor(left / remainingHolders);
    const share = Math.min(demand.wanted, equalShare);
    if (share < demand.wanted) unsatisfied.push(demand);
    shares.set(demand.holder, share);
    left -= share;
    remainingHolders -= 1;
  }
  distributeRemainder(shares, unsatisfied, left);
  return shares;
}

function distributeRemainder(
  shares: Map<string, number>,
  unsatisfied: Demand[],
  units: number,
): void {
  unsatisfied.sort((left, right) => left.rank - right.rank);
  for (const {holder} of unsatisfied.slice(0, units)) {
    shares.set(holder, (shares.get(holder) ?? 0) + 1);
  }
}
