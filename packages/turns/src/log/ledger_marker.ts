/**
 * Marks a disk whose ledgers include what its archive has granted, so that an
 * archive that restarts before it has read the ledgers of its peers is told
 * from one that has lost nothing.
 */
import type {LogFolder} from './log_folder.js';

const markerName = 'ledgers-complete';

/**
 * Whether the ledgers on a disk are complete.
 * @param folder - Log folder on the disk.
 */
export async function hasLedgerMarker(folder: LogFolder): Promise<boolean> {
  return (await folder.listFiles()).includes(markerName);
}

/**
 * Marks the ledgers on a disk as complete; resolves once that is durable.
 * @param folder - Log folder on the disk.
 */
export async function writeLedgerMarker(folder: LogFolder): Promise<void> {
  const file = await folder.createFile(markerName);
  await file.close();
}
