/** Creates the turn store of an entry VM. */
import {type ArchivePool, TurnStore} from '@marigoldpost/turns';
import type {NodeOptions} from '../node_options.js';
import type {EntryDirectory} from './entry_directory.js';

/** Share of the VM's memory that the cache of recent turns may use. */
const cacheShare = 0.15;
/**
 * Share of the object API's writes for the entry VMs of one data centre: others
 * may lack archives at the same time, and archives remove what was written.
 */
const storeWriteShare = 0.25;
/** Least pause between two writes of one kind: each call has a cost. */
const minWriteIntervalMs = 50;
const millisecondsPerSecond = 1000;
const bytesPerMb = 2 ** 20;

/**
 * Creates the turn store of an entry VM.
 * @param options - Settings and dependencies of the daemon.
 * @param pool - Archives of the site.
 * @param directory - Entry VMs of the site.
 */
export function createTurnStore(
  {clock, settings, platform, logger}: NodeOptions,
  pool: ArchivePool,
  directory: EntryDirectory,
): TurnStore {
  const {daemon, dataCentre, memoryMb, toleratedDisks} = settings;
  return TurnStore.create({
    pool,
    clock,
    ownDataCentre: dataCentre,
    replicaCount: toleratedDisks + 1,
    balancerNoticeMs: settings.bounds.balancerNoticeMs,
    cacheBytes: memoryMb * cacheShare * bytesPerMb,
    store: platform.store,
    daemon,
    // The start of this process.
    incarnation: String(clock.wallTimeMs()),
    getWriteIntervalMs: () => {
      const writers = directory
        .getMembers()
        .filter((member) => member.dataCentre === dataCentre).length;
      return getWriteIntervalMs(writers, settings.storeWritesPerS);
    },
    onTurnsWritten: ({batch, turns, objects, elapsedMs}) =>
      logger.log('turn_objects_written', {
        batch,
        turns,
        objects,
        elapsedMs: Math.round(elapsedMs),
      }),
    onReservationsWritten: (reservations, elapsedMs) =>
      logger.log('reservations_written', {
        reservations,
        elapsedMs: Math.round(elapsedMs),
      }),
  });
}

/** Gets the pause that keeps the entry VMs of a data centre to their share. */
function getWriteIntervalMs(writers: number, writesPerS: number): number {
  const intervalMs =
    (writers * millisecondsPerSecond) / (writesPerS * storeWriteShare);
  return Math.max(minWriteIntervalMs, intervalMs);
}
