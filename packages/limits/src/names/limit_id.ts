/** Names of the owners' limits and of their keepers. */
import {
  type Brand,
  type DataCentreId,
  getHashNumber,
  getPartitionId,
  type PartitionId,
  type ServiceId,
  type TeamId,
  toId,
} from '@marigoldpost/common';

/** A limit, written `<owner kind>:<owner>:<measure>`. */
export type LimitId = Brand<string, 'LimitId'>;

/** What a limit bounds. */
export type LimitMeasure = 'in_flight' | 'requests' | 'tokens';

/** Kind of a limit's owner. */
export type LimitOwnerKind = 'service' | 'team';

/** The parts of a limit's name. */
export interface LimitParts {
  readonly ownerKind: LimitOwnerKind;
  readonly owner: string;
  readonly measure: LimitMeasure;
}

const limitPattern = /^(service|team):(.+):(in_flight|requests|tokens)$/;

/**
 * Gets the name of a service's limit.
 * @param service - The service.
 * @param measure - What is bounded.
 */
export function getServiceLimit(
  service: ServiceId,
  measure: LimitMeasure,
): LimitId {
  return toId<LimitId>(`service:${service}:${measure}`);
}

/**
 * Gets the name of a team's limit.
 * @param team - The team.
 * @param measure - What is bounded.
 */
export function getTeamLimit(team: TeamId, measure: LimitMeasure): LimitId {
  return toId<LimitId>(`team:${team}:${measure}`);
}

/**
 * Gets the parts of a limit's name, or nothing for another text.
 * @param text - Untrusted text.
 */
export function parseLimitId(text: string): LimitParts | undefined {
  const match = limitPattern.exec(text);
  if (match === null) return undefined;
  const [, ownerKind, owner, measure] = match;
  return {
    ownerKind: ownerKind as LimitOwnerKind,
    owner: owner ?? '',
    measure: measure as LimitMeasure,
  };
}

/**
 * Gets the partition whose holder keeps a data centre's share of a limit.
 * @param limit - The limit.
 * @param dataCentre - The data centre.
 * @param partitionCount - Partitions of each data centre.
 */
export function getKeeperPartition(
  limit: LimitId,
  dataCentre: DataCentreId,
  partitionCount: number,
): PartitionId {
  return getPartitionId(dataCentre, getHashNumber(limit) % partitionCount);
}
