/** Policy for claiming, keeping and handing over partitions. */
import {
  getDataCentreOfPartition,
  getHashNumber,
  type DaemonId,
  type DataCentreId,
  type PartitionId,
} from '@marigoldpost/common';
import type {FleetMember} from '@marigoldpost/platform';

/** A daemon that can hold partitions, with those that it holds now. */
export interface Candidate {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  readonly partitions: readonly PartitionId[];
}

/**
 * Gets the daemons that can claim partitions now: this one, and the live peers
 * that reach the platform and are not draining.
 * @param self - This daemon; the first element of the result.
 * @param members - Other daemons of the fleet.
 */
export function getCandidates(
  self: Candidate,
  members: readonly FleetMember[],
): Candidate[] {
  const peers = members
    .filter(
      ({isDraining, reachesPlatform, state}) =>
        state === 'alive' && reachesPlatform && !isDraining,
    )
    .map(({daemon, dataCentre, partitions}) => ({
      daemon,
      dataCentre,
      partitions: partitions.map(({partition}) => partition),
    }));
  return [self, ...peers];
}

/**
 * Gets the daemon that should claim a free partition, by rendezvous hashing:
 * one of the partition's data centre, or any daemon when that has none. Daemons
 * with the same candidates get the same result.
 * @param partition - Free partition.
 * @param candidates - Daemons that can hold it.
 */
export function getPreferredHolder(
  partition: PartitionId,
  candidates: readonly Candidate[],
): DaemonId | undefined {
  const eligible = getHomeCandidates(partition, candidates);
  let best: DaemonId | undefined;
  let bestWeight = -1;
  for (const {daemon} of eligible) {
    const weight = getHashNumber(`${partition}/${daemon}`);
    if (weight <= bestWeight) continue;
    best = daemon;
    bestWeight = weight;
  }
  return best;
}

/**
 * Gets the maximum number of partitions that a daemon should hold.
 * @param partitions - Number of partitions of the data centre.
 * @param candidates - Daemons of the data centre.
 */
export function getFairShare(
  partitions: number,
  candidates: readonly Candidate[],
): number {
  return Math.ceil(partitions / Math.max(1, candidates.length));
}

/** A partition to hand over, and its new holder. */
export interface PartitionMove {
  readonly partition: PartitionId;
  readonly to: DaemonId;
}

/**
 * Gets the next partition that this daemon should hand over: one whose own data
 * centre has a candidate again, or one in excess of a balanced load.
 * @param self - This daemon.
 * @param candidates - All daemons that can hold partitions, this one included.
 */
export function getNextMove(
  self: Candidate,
  candidates: readonly Candidate[],
): PartitionMove | undefined {
  const others = candidates.filter(({daemon}) => daemon !== self.daemon);
  for (const partition of self.partitions) {
    const home = getDataCentreOfPartition(partition);
    if (home === self.dataCentre) continue;
    const to = getLeastLoaded(others.filter((it) => it.dataCentre === home));
    if (to !== undefined) return {partition, to: to.daemon};
  }
  const localCandidates = others.filter(
    ({dataCentre}) => dataCentre === self.dataCentre,
  );
  const to = getLeastLoaded(localCandidates);
  const partition = self.partitions.at(-1);
  if (to === undefined || partition === undefined) return undefined;
  const isUneven = self.partitions.length - to.partitions.length > 1;
  return isUneven ? {partition, to: to.daemon} : undefined;
}

/**
 * Gets the daemon that holds the fewest partitions, or undefined without
 * candidates.
 * @param candidates - Daemons to choose from.
 */
export function getLeastLoaded(
  candidates: readonly Candidate[],
): Candidate | undefined {
  return candidates.toSorted(
    (left, right) =>
      left.partitions.length - right.partitions.length ||
      (left.daemon < right.daemon ? -1 : 1),
  )[0];
}

function getHomeCandidates(
  partition: PartitionId,
  candidates: readonly Candidate[],
): readonly Candidate[] {
  const home = getDataCentreOfPartition(partition);
  const homeCandidates = candidates.filter(
    ({dataCentre}) => dataCentre === home,
  );
  return homeCandidates.length > 0 ? homeCandidates : candidates;
}
