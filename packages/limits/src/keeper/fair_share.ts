/** Divides an amount among those who want it. */

/** What one holder wants. */
export interface Demand {
  readonly holder: string;
  /** Whole units wanted. */
  readonly wanted: number;
  /** The lower, the earlier the holder gets one of the last units. */
  readonly rank: number;
}

/**
 * Divides whole units so that nobody gets more than wanted, and nobody could
 * get more without taking from one who has no more (max-min fairness).
 * @param units - Whole units to divide.
 * @param demands - Who wants how many.
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
  let waiting = byWanted.length;
  const capped: Demand[] = [];
  for (const demand of byWanted) {
    const equal = Math.floor(left / waiting);
    const share = Math.min(demand.wanted, equal);
    if (share < demand.wanted) capped.push(demand);
    shares.set(demand.holder, share);
    left -= share;
    waiting -= 1;
  }
  giveRest(shares, capped, left);
  return shares;
}

function giveRest(
  shares: Map<string, number>,
  capped: Demand[],
  units: number,
): void {
  capped.sort((left, right) => left.rank - right.rank);
  for (const {holder} of capped.slice(0, units)) {
    shares.set(holder, (shares.get(holder) ?? 0) + 1);
  }
}
