/** Ids of the owners' limits, and the partition that allocates a limit. */
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

/** Id of a limit: `<owner kind>:<owner>:<measure>`. */
export type LimitId = Brand<string, 'LimitId'>;

/** Quantity that a limit bounds; requests and tokens count per second. */
export type LimitMeasure = 'in_flight' | 'requests' | 'tokens';

/** Whether a limit belongs to a service or a calling team. */
export type LimitOwnerKind = 'service' | 'team';

/** A parsed limit id. */
export interface LimitParts {
  readonly ownerKind: LimitOwnerKind;
  readonly owner: string;
  readonly measure: LimitMeasure;
}

const limitPattern = /^(service|team):(.+):(in_flight|requests|tokens)$/;

/**
 * Gets the id of a service's limit.
 * @param service - Service that owns the limit.
 * @param measure - Quantity that the limit bounds.
 */
export function getServiceLimit(
  service: ServiceId,
  measure: LimitMeasure,
): LimitId {
  return toId<LimitId>(`service:${service}:${measure}`);
}

/**
 * Gets the id of a team's limit.
 * @param team - Team that owns the limit.
 * @param measure - Quantity that the limit bounds.
 */
export function getTeamLimit(team: TeamId, measure: LimitMeasure): LimitId {
  return toId<LimitId>(`team:${team}:${measure}`);
}

/**
 * Parses a limit id; undefined if the text is not one.
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
 * Gets the partition whose holder allocates a data centre's share of a limit.
 * @param limit - Limit id; its hash selects the partition.
 * @param dataCentre - Data centre of the share.
 * @param partitionCount - Number of partitions in each data centre.
 */
export function getAllocatorPartition(
  limit: LimitId,
  dataCentre: DataCentreId,
  partitionCount: number,
): PartitionId {
  return getPartitionId(dataCentre, getHashNumber(limit) % partitionCount);
}
