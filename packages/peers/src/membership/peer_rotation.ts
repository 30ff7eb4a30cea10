/** Chooses the peers that one interval's heartbeats go to. */
import type {DataCentreId, Random} from '@marigoldpost/common';
import type {MemberRecord} from './member_record.js';

/** Peers that a daemon beats in one interval, whatever the fleet's size. */
export const peersPerInterval = 3;

/** How many of them are in other data centres, when there are enough here. */
const remotePeersPerInterval = 1;

/**
 * Chooses the peers not beaten for longest, mostly of the own data centre.
 * @param records - Every daemon that may be beaten.
 * @param ownDataCentre - The own data centre.
 * @param random - Breaks ties, so that daemons do not move in step.
 */
export function choosePeers(
  records: readonly MemberRecord[],
  ownDataCentre: DataCentreId,
  random: Random,
): MemberRecord[] {
  const waiting = sortByLastBeat(
    records.filter((record) => !record.isBeatPending),
    random,
  );
  const confirmed = waiting.filter((record) => record.isConfirmed);
  const unconfirmed = waiting.filter((record) => !record.isConfirmed);
  const isLocal = (record: MemberRecord) => record.dataCentre === ownDataCentre;
  const local = confirmed.filter(isLocal);
  const remote = confirmed.filter((record) => !isLocal(record));
  const remoteCount = Math.max(
    remotePeersPerInterval,
    peersPerInterval - local.length,
  );
  const chosenRemote = remote.slice(0, remoteCount);
  const localCount = peersPerInterval - chosenRemote.length;
  return [
    ...local.slice(0, localCount),
    ...chosenRemote,
    ...unconfirmed.slice(0, 1),
  ];
}

/**
 * Gets after how many intervals a peer is beaten again.
 * @param localCount - Other daemons of the own data centre.
 * @param remoteCount - Daemons of other data centres.
 */
export function getRotationIntervals(
  localCount: number,
  remoteCount: number,
): {local: number; remote: number} {
  const remotePeers = Math.max(
    remotePeersPerInterval,
    peersPerInterval - localCount,
  );
  const localPeers = peersPerInterval - Math.min(remotePeers, remoteCount);
  return {
    local: Math.ceil(localCount / Math.max(1, localPeers)),
    remote: Math.ceil(remoteCount / remotePeers),
  };
}

function sortByLastBeat(
  records: readonly MemberRecord[],
  random: Random,
): MemberRecord[] {
  return records
    .map((record) => ({record, tie: random.next()}))
    .sort(
      (left, right) =>
        compare(left.record.lastBeatMs, right.record.lastBeatMs) ||
        left.tie - right.tie,
    )
    .map(({record}) => record);
}

function compare(left: number, right: number): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
