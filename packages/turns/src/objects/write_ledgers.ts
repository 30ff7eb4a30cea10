/** Writes the ledgers of an archive to the object API before its VM is removed. */
import {type ProgramId, toId} from '@marigoldpost/common';
import {type ObjectStore, putOwnObject} from '@marigoldpost/platform';
import type {Archive} from '../archive/archive.js';
import {encodeReservations, reservationPrefix} from './reservation_object.js';

/**
 * Writes all ledgers of an archive as reservations, which its peers import; a
 * reservation may stand on its disk and on one other only.
 * @param store - Object API.
 * @param archive - Archive that grants no further reservations.
 */
export async function writeLedgers(
  store: ObjectStore,
  archive: Archive,
): Promise<void> {
  let lastProgram = toId<ProgramId>('');
  for (let part = 0; ; part++) {
    const {ledgers, hasMore} = archive.getLedgersAfter(lastProgram);
    const last = ledgers.at(-1);
    if (last === undefined) return;
    const key = `${reservationPrefix}${archive.disk}.${part}`;
    await putOwnObject(store, key, encodeReservations(ledgers));
    if (!hasMore) return;
    lastProgram = last.program;
  }
}
