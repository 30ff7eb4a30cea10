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

/**
 * Orders archives by how well they suit as holders: those of the chain, then
 * the own data centre, then the others by a hash of the program. Of each data
 * centre one stands before the second of any.
 * @param members - Archives to choose from.
 * @param options - The turn.
 */
export function orderHolders<Member extends ArchiveMember>(
  members: readonly Member[],
  options: CopyPlanOptions,
): Member[] {
  const ranked = members
    .map((member) => ({member, rank: getRank(member, options)}))
    .toSorted((left, right) => left.rank - right.rank)
    .map(({member}) => member);
  const seen = new Set<DataCentreId>();
  const first: Member[] = [];
  const rest: Member[] = [];
  for (const member of ranked) {
    (seen.has(member.dataCentre) ? rest : first).push(member);
    seen.add(member.dataCentre);
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
