/** Identity of a disk's contents, so that the loss of a disk is detected. */
import {type Brand, type Random, toId} from '@marigoldpost/common';
import type {LogFolder} from './log_folder.js';

/** Identifies the contents of one disk since it was last empty. */
export type DiskId = Brand<string, 'DiskId'>;

const identityPrefix = 'disk-';
const identityLength = 12;

/**
 * Gets the disk's identity; creates a random one on an empty disk.
 * @param folder - Log folder on the disk.
 * @param random - Random source of a new identity.
 */
export async function readDiskIdentity(
  folder: LogFolder,
  random: Random,
): Promise<DiskId> {
  const names = await folder.listFiles();
  // The file name alone is the identity, so a torn write cannot damage it.
  const existing = names.find((name) => name.startsWith(identityPrefix));
  if (existing !== undefined) return toId<DiskId>(existing);
  const name = `${identityPrefix}${random.nextToken(identityLength)}`;
  const file = await folder.createFile(name);
  await file.close();
  return toId<DiskId>(name);
}
