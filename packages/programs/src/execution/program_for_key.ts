/** Derivation of program ids from idempotency keys. */
import {
  getDigest,
  getHashNumber,
  getPartitionOfProgram,
  MarigoldpostError,
  toId,
  type IdempotencyKey,
  type PartitionId,
  type ProgramId,
  type TeamId,
} from '@marigoldpost/common';

const keyDigestLength = 32;

/**
 * Gets the program of a keyed call that names none. All daemons compute the
 * same id, so a call that is re-sent to any daemon finds the first sending.
 * Throws `partition_unavailable` when there is no partition.
 * @param team - Calling team; keys of different teams never collide.
 * @param key - Idempotency key of the call.
 * @param partitions - All partitions of the fleet, in any order.
 */
export function getProgramForKey(
  team: TeamId,
  key: IdempotencyKey,
  partitions: readonly PartitionId[],
): ProgramId {
  const name = getKeyName(team, key);
  let best: PartitionId | undefined;
  let bestWeight = -1;
  for (const partition of partitions) {
    const weight = getHashNumber(`${name}/${partition}`);
    if (weight < bestWeight) continue;
    if (weight === bestWeight && best! < partition) continue;
    best = partition;
    bestWeight = weight;
  }
  if (best === undefined) {
    throw MarigoldpostError.create(
      'partition_unavailable',
      'the fleet has no known partition to place a keyed call in',
    );
  }
  return getProgramOfKey(best, team, key);
}

/**
 * Gets the program id that a key derives in one partition.
 * @param partition - Partition that the program belongs to.
 * @param team - Calling team.
 * @param key - Idempotency key of the call.
 */
export function getProgramOfKey(
  partition: PartitionId,
  team: TeamId,
  key: IdempotencyKey,
): ProgramId {
  return toId<ProgramId>(`${partition}.${getKeyName(team, key)}`);
}

/**
 * Whether a program id is derived from a key, in any partition.
 * @param program - Program id to check.
 * @param team - Calling team.
 * @param key - Idempotency key of the call.
 */
export function isProgramOfKey(
  program: ProgramId,
  team: TeamId,
  key: IdempotencyKey,
): boolean {
  return program === getProgramOfKey(getPartitionOfProgram(program), team, key);
}

function getKeyName(team: TeamId, key: IdempotencyKey): string {
  return `k-${getDigest(JSON.stringify([team, key])).slice(0, keyDigestLength)}`;
}
