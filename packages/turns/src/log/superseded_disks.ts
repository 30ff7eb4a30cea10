/**
 * Records the disks of archives whose votes on token budgets do not count. The
 * names of empty files are the record, so a torn write cannot damage it.
 */
import {toId} from '@marigoldpost/common';
import type {DiskId} from './disk_identity.js';
import type {LogFolder} from './log_folder.js';

const namePrefix = 'superseded-';

/**
 * Lists the superseded disks that are recorded.
 * @param folder - Log folder on the own disk.
 */
export async function listSupersededDisks(
  folder: LogFolder,
): Promise<DiskId[]> {
  const names = await folder.listFiles();
  return names
    .filter((name) => name.startsWith(namePrefix))
    .map((name) => decodeURIComponent(name.slice(namePrefix.length)))
    .map((disk) => toId<DiskId>(disk));
}

/**
 * Records a superseded disk; resolves once that is durable.
 * @param folder - Log folder on the own disk.
 * @param disk - Disk whose vote does not count.
 */
export async function recordSupersededDisk(
  folder: LogFolder,
  disk: DiskId,
): Promise<void> {
  const name = `${namePrefix}${encodeURIComponent(disk)}`;
  const file = await folder.createFile(name);
  await file.close();
}
