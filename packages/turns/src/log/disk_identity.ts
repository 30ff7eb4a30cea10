/** Name of a disk's contents, so that the loss of a disk shows. */
import {type Brand, type Random, toId} from '@marigoldpost/common';
import type {LogFolder} from './log_folder.js';

/** Contents of one disk since it was last empty. */
export type DiskId = Brand<string, 'DiskId'>;

const identityPrefix = 'disk-';
const identityLength = 12;

/**
 * Gets the disk's identity, giving it one when it has none.
 * @param folder - Folder on the disk.
 * @param random - Source of a new identity.
 */
export async function readDiskIdentity(
  folder: LogFolder,
  random: Random,
): Promise<DiskId> {
  const names = await folder.listFiles();
  // The name alone carries the identity, so no write can tear it.
  const known = names.find((name) => name.startsWith(identityPrefix));
  if (known !== undefined) return toId<DiskId>(known);
  const name = `${identityPrefix}${random.nextToken(identityLength)}`;
  const file = await folder.createFile(name);
  await file.close();
  return toId<DiskId>(name);
}
