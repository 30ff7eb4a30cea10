/** Which partitions a daemon may claim, keep and should give away. */
import {
  getDataCentreOfPartition,
  getHashNumber,
  type DaemonId,
  type DataCentreId,
  type PartitionId,
} from '@marigoldpost/common';
import type {FleetMember} from '@marigoldpost/platform';

/** A daemon that can hold partitions. */
export interface Candidate {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  readonly partitions: readonly PartitionId[];
}

/**
 * Gets the daemons that can claim partitions now: this one, and the live peers
 * that reach the platform.
 * @param own - This daemon.
 * @param members - The others.
 */
export function getCandidates(
  own: Candidate,
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
  return [own, ...peers];
}

/**
 * Gets the daemon that should claim a free partition: one of its own data
 * centre, or any when that has none; the same for all that know the same.
 * @param partition - The partition.
 * @param candidates - Daemons that can hold it.
 */
export function getPreferredHolder(
  partition: PartitionId,
  candidates: readonly Candidate[],
): DaemonId | undefined {
  const home = getHomeCandidates(partition, candidates);
  let best: DaemonId | undefined;
  let bestWeight = -1;
  for (const {daemon} of home) {
    const weight = getHashNumber(`${partition}/${daemon}`);
    if (weight <= bestWeight) continue;
    best = daemon;
    bestWeight = weight;
  }
  return best;
}

/**
 * Gets the most partitions that a daemon of a data centre should hold.
 * @param partitions - Number of partitions.
 * @param candidates - Daemons of the data centre.
 */
export function getFairShare(
  partitions: number,
  candidates: readonly Candidate[],
): number {
  return Math.ceil(partitions / Math.max(1, candidates.length));
}

/** A partition to hand over, and to whom. */
export interface Move {
  readonly partition: PartitionId;
  readonly to: DaemonId;
}

/**
 * Gets the next partition that this daemon should hand over: one whose home data
 * centre is back, or one more than its share.
 * @param own - This daemon.
 * @param candidates - All that can hold partitions, this daemon included.
 */
export function getNextMove(
  own: Candidate,
  candidates: readonly Candidate[],
): Move | undefined {
  const others = candidates.filter(({daemon}) => daemon !== own.daemon);
  for (const partition of own.partitions) {
    const home = getDataCentreOfPartition(partition);
    if (home === own.dataCentre) continue;
    const to = getLeastLoaded(others.filter((it) => it.dataCentre === home));
    if (to !== undefined) return {partition, to: to.daemon};
  }
  const near = others.filter(({dataCentre}) => dataCentre === own.dataCentre);
  const to = getLeastLoaded(near);
  const partition = own.partitions.at(-1);
  if (to === undefined || partition === undefined) return undefined;
  const isUneven = own.partitions.length - to.partitions.length > 1;
  return isUneven ? {partition, to: to.daemon} : undefined;
}

/**
 * Gets the daemon that holds the fewest partitions.
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
  const near = candidates.filter(({dataCentre}) => dataCentre === home);
  return near.length > 0 ? near : candidates;
}
