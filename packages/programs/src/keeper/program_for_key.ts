/** Programs that an idempotency key names. */
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
 * Gets the program of a keyed call that names none. Every daemon gets the same,
 * so a call that is sent again anywhere finds the first one.
 * @param team - The calling team; keys of two teams never meet.
 * @param key - The key.
 * @param partitions - Every partition of the fleet, in any order.
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
      'no partition is known',
    );
  }
  return getProgramOfKey(best, team, key);
}

/**
 * Gets the program that a key names in one partition.
 * @param partition - The partition.
 * @param team - The calling team.
 * @param key - The key.
 */
export function getProgramOfKey(
  partition: PartitionId,
  team: TeamId,
  key: IdempotencyKey,
): ProgramId {
  return toId<ProgramId>(`${partition}.${getKeyName(team, key)}`);
}

/**
 * Checks whether a program's id is the one that a key names.
 * @param program - The program.
 * @param team - The calling team.
 * @param key - The key.
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
