/**
 * Marks a disk whose ledgers include what its archive has granted, so that an
 * archive that restarts before it has read the ledgers of its peers is told
 * from one that has lost nothing.
 */
import type {LogFolder} from './log_folder.js';

const markerName = 'ledgers-complete';
/** File of a disk that was empty; builds before the marker write none. */
const emptiedName = 'ledgers-emptied';

/**
 * Whether the ledgers on a disk are complete.
 * @param folder - Log folder on the disk, before its archive is opened.
 */
export async function hasLedgerMarker(folder: LogFolder): Promise<boolean> {
  const names = await folder.listFiles();
  if (names.includes(markerName)) return true;
  if (names.length > 0) return !names.includes(emptiedName);
  const file = await folder.createFile(emptiedName);
  await file.close();
  return false;
}

/**
 * Marks the ledgers on a disk as complete; resolves once that is durable.
 * @param folder - Log folder on the disk.
 */
export async function writeLedgerMarker(folder: LogFolder): Promise<void> {
  const file = await folder.createFile(markerName);
  await file.close();
}
