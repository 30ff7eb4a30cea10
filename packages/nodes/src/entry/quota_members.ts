/**
 * Orders the entry VMs for each tenant. A hash that all of them compute alike
 * decides: the first one counts the tenant's requests, and the next ones do while
 * it does not respond.
 */
import {
  type DataCentreId,
  getHashNumber,
  type TenantId,
} from '@marigoldpost/common';
import type {EntryDirectory, EntryMember} from './entry_directory.js';

/** Entry VMs of the whole site that may count a tenant's requests. */
const siteCandidates = 4;
/**
 * Further ones of each data centre, so that one that is cut off from the others
 * has its own.
 */
const localCandidates = 2;

/** Candidates of each tenant, best first. */
export class QuotaMembers {
  private readonly rankings = new Map<TenantId, readonly EntryMember[]>();
  private rankedChangeCount = -1;

  private constructor(private readonly directory: EntryDirectory) {}

  /**
   * Creates the order of a directory's entry VMs.
   * @param directory - Registered entry VMs.
   */
  static create(directory: EntryDirectory): QuotaMembers {
    return new QuotaMembers(directory);
  }

  /**
   * Gets the entry VMs that may count a tenant's requests, best first.
   * @param tenant - Tenant with a quota.
   */
  rank(tenant: TenantId): readonly EntryMember[] {
    const {directory, rankings} = this;
    if (this.rankedChangeCount !== directory.changeCount) {
      this.rankedChangeCount = directory.changeCount;
      rankings.clear();
    }
    const known = rankings.get(tenant);
    if (known !== undefined) return known;
    const ranking = selectCandidates(tenant, directory.getMembers());
    rankings.set(tenant, ranking);
    return ranking;
  }
}

function selectCandidates(
  tenant: TenantId,
  members: readonly EntryMember[],
): readonly EntryMember[] {
  const ordered = members
    .map((member) => ({
      member,
      score: getHashNumber(`quota ${tenant} ${member.daemon}`),
    }))
    .toSorted((left, right) => right.score - left.score)
    .map(({member}) => member);
  const countByDataCentre = new Map<DataCentreId, number>();
  return ordered.filter(({dataCentre}, index) => {
    const count = (countByDataCentre.get(dataCentre) ?? 0) + 1;
    countByDataCentre.set(dataCentre, count);
    return index < siteCandidates || count <= localCandidates;
  });
}
