/** Chooses the archives that store the replicas of a turn. */
import {
  type DataCentreId,
  getHashNumber,
  type ProgramId,
} from '@marigoldpost/common';
import type {DiskId} from '../log/disk_identity.js';
import type {ArchiveMember} from '../directory/archive_directory.js';

/** Properties of a turn that determine where its replicas go. */
export interface ReplicaPlacementOptions {
  readonly program: ProgramId;
  readonly ownDataCentre: DataCentreId;
  /** Disks of the previous turn, so that a chain stays on the same disks. */
  readonly chainDisks: readonly DiskId[];
}

/** An archive, or a client of it, that can store a replica. */
interface ReplicaCandidate {
  readonly member: ArchiveMember;
}

/**
 * Orders archives by preference: the disks of the chain first, then the own
 * data centre, then the others by rendezvous hash of the program. The best
 * archive of each data centre comes before the second of any data centre.
 * @param candidates - Archives to choose from.
 * @param options - Program, data centre and chain of the turn.
 */
export function orderCandidates<T extends ReplicaCandidate>(
  candidates: readonly T[],
  options: ReplicaPlacementOptions,
): T[] {
  const ranked = candidates
    .map((holder) => ({holder, rank: getRank(holder.member, options)}))
    .toSorted((left, right) => left.rank - right.rank)
    .map(({holder}) => holder);
  const seenDataCentres = new Set<DataCentreId>();
  const firstPerDataCentre: T[] = [];
  const others: T[] = [];
  for (const holder of ranked) {
    const {dataCentre} = holder.member;
    (seenDataCentres.has(dataCentre) ? others : firstPerDataCentre).push(
      holder,
    );
    seenDataCentres.add(dataCentre);
  }
  return [...firstPerDataCentre, ...others];
}

const chainDiskRank = -2;
const ownDataCentreRank = -1;
const hashRange = 2 ** 32;

function getRank(
  member: ArchiveMember,
  options: ReplicaPlacementOptions,
): number {
  const {program, ownDataCentre, chainDisks} = options;
  if (chainDisks.includes(member.disk)) return chainDiskRank;
  if (member.dataCentre === ownDataCentre) return ownDataCentreRank;
  return getHashNumber(`${program} ${member.daemon}`) / hashRange;
}
