/** Which archives are to hold a turn. */
import {
  type DataCentreId,
  getHashNumber,
  type ProgramId,
} from '@marigoldpost/common';
import type {DiskId} from '../log/disk_identity.js';
import type {ArchiveMember} from '../directory/archive_directory.js';

/** What the choice depends on. */
export interface CopyPlanOptions {
  readonly program: ProgramId;
  readonly ownDataCentre: DataCentreId;
  /** Disks of the turn before, so that a chain stays together. */
  readonly chainDisks: readonly DiskId[];
}

/** Something that stands for an archive. */
interface Holder {
  readonly member: ArchiveMember;
}

/**
 * Orders archives by how well they suit as holders: those of the chain, then
 * the own data centre, then the others by a hash of the program. Of each data
 * centre one stands before the second of any.
 * @param holders - Archives to choose from.
 * @param options - The turn.
 */
export function orderHolders<T extends Holder>(
  holders: readonly T[],
  options: CopyPlanOptions,
): T[] {
  const ranked = holders
    .map((holder) => ({holder, rank: getRank(holder.member, options)}))
    .toSorted((left, right) => left.rank - right.rank)
    .map(({holder}) => holder);
  const seen = new Set<DataCentreId>();
  const first: T[] = [];
  const rest: T[] = [];
  for (const holder of ranked) {
    const {dataCentre} = holder.member;
    (seen.has(dataCentre) ? rest : first).push(holder);
    seen.add(dataCentre);
  }
  return [...first, ...rest];
}

const chainRank = -2;
const ownRank = -1;
const hashRange = 2 ** 32;

function getRank(member: ArchiveMember, options: CopyPlanOptions): number {
  const {program, ownDataCentre, chainDisks} = options;
  if (chainDisks.includes(member.disk)) return chainRank;
  if (member.dataCentre === ownDataCentre) return ownRank;
  return getHashNumber(`${program} ${member.daemon}`) / hashRange;
}
