/** Selects the peers that one round of heartbeats is sent to. */
import type {DataCentreId, Random} from '@marigoldpost/common';
import type {MemberRecord} from './member_record.js';

/** Peers that get a heartbeat in one round, independent of the fleet size. */
export const peersPerRound = 3;

/** Peers of other data centres among them, if the own one has enough. */
const remotePeersPerRound = 1;

/**
 * Selects the peers whose last heartbeat is oldest, mostly of the own data
 * centre, and at most one unconfirmed peer.
 * @param records - All daemons that can get a heartbeat.
 * @param ownDataCentre - Data centre of this daemon.
 * @param random - Breaks ties, so that daemons do not rotate in lockstep.
 */
export function selectPeers(
  records: readonly MemberRecord[],
  ownDataCentre: DataCentreId,
  random: Random,
): MemberRecord[] {
  const waiting = sortByLastHeartbeat(
    records.filter((record) => !record.isHeartbeatPending),
    random,
  );
  const confirmed = waiting.filter((record) => record.isConfirmed);
  const unconfirmed = waiting.filter((record) => !record.isConfirmed);
  const isLocal = (record: MemberRecord) => record.dataCentre === ownDataCentre;
  const local = confirmed.filter(isLocal);
  const remote = confirmed.filter((record) => !isLocal(record));
  const remoteCount = Math.max(
    remotePeersPerRound,
    peersPerRound - local.length,
  );
  const chosenRemote = remote.slice(0, remoteCount);
  const localCount = peersPerRound - chosenRemote.length;
  return [
    ...local.slice(0, localCount),
    ...chosenRemote,
    ...unconfirmed.slice(0, 1),
  ];
}

/**
 * Gets the number of intervals between two heartbeats to the same peer.
 * @param localCount - Number of other daemons in the own data centre.
 * @param remoteCount - Number of daemons in other data centres.
 */
export function getRotationIntervals(
  localCount: number,
  remoteCount: number,
): {local: number; remote: number} {
  const remotePeers = Math.max(remotePeersPerRound, peersPerRound - localCount);
  const localPeers = peersPerRound - Math.min(remotePeers, remoteCount);
  return {
    local: Math.ceil(localCount / Math.max(1, localPeers)),
    remote: Math.ceil(remoteCount / remotePeers),
  };
}

function sortByLastHeartbeat(
  records: readonly MemberRecord[],
  random: Random,
): MemberRecord[] {
  return records
    .map((record) => ({record, tie: random.next()}))
    .sort(
      (left, right) =>
        compare(left.record.lastHeartbeatMs, right.record.lastHeartbeatMs) ||
        left.tie - right.tie,
    )
    .map(({record}) => record);
}

function compare(left: number, right: number): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
