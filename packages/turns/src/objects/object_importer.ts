/**
 * Stores on the own disk what entry VMs have written to the object API, and
 * removes the objects once enough disks have it.
 */
import {
  type Clock,
  type DaemonId,
  getHashNumber,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {
  ObjectChange,
  ObjectStore,
  StoredObject,
} from '@marigoldpost/platform';
import type {TurnId} from '@marigoldpost/sites';
import type {Archive} from '../archive/archive.js';
import type {ArchivePool} from '../client/archive_pool.js';
import type {TurnRecord} from '../records/turn_record.js';
import {decodeReservations, reservationPrefix} from './reservation_object.js';
import {
  decodeTurnBatchPart,
  joinTurnBatch,
  type TurnBatchPart,
  turnObjectPrefix,
} from './turn_object.js';

/** Time for which an archive leaves a batch to the one that precedes it. */
const precedenceMs = 300;
/**
 * Time after which an object that has not changed is removed, unless its turns
 * are retained for longer: twice the time for which ledgers are kept.
 */
const maxAgeMs = 240_000;

/** Archive, object API and callbacks of an importer. */
export interface ObjectImporterOptions {
  readonly archive: Archive;
  readonly pool: ArchivePool;
  readonly store: Pick<ObjectStore, 'removeObject'>;
  readonly clock: Clock;
  readonly daemon: DaemonId;
  /** Called for an object that is malformed. */
  readonly onIgnored?: (object: StoredObject) => void;
  /** Called when a batch of turns is durable on the own disk. */
  readonly onImported?: (batch: string, turns: number) => void;
  /** Called when the objects of a batch were removed. */
  readonly onRemoved?: (batch: string, turns: number) => void;
}

/** Turns of one batch, as far as they are known. */
interface Batch {
  /** By key; `undefined` if the part is malformed, or the batch is decoded. */
  readonly parts: Map<string, TurnBatchPart | undefined>;
  readonly seenAtMs: number;
  /** Turns of a whole batch; dropped once they are on the own disk. */
  records: readonly TurnRecord[] | undefined;
  ids: readonly TurnId[];
}

interface ReservationObject {
  readonly object: StoredObject;
  readonly seenAtMs: number;
  isMerged: boolean;
}

/** Consumes the objects under `turnObjectPrefix` and `reservationPrefix`. */
export class ObjectImporter {
  private readonly batches = new Map<string, Batch>();
  private readonly reservations = new Map<string, ReservationObject>();

  private constructor(private readonly options: ObjectImporterOptions) {}

  /**
   * Creates an importer; the repair rounds of its archive run it.
   * @param options - Archive, peers and object API.
   */
  static create(options: ObjectImporterOptions): ObjectImporter {
    return new ObjectImporter(options);
  }

  /** Number of batches of turns that objects hold. */
  get batchCount(): number {
    return this.batches.size;
  }

  /**
   * Replaces the objects of one prefix by those of a listing.
   * @param prefix - `turnObjectPrefix` or `reservationPrefix`.
   * @param objects - All objects of the prefix.
   */
  replaceObjects(prefix: string, objects: readonly StoredObject[]): void {
    const keys = new Set(objects.map(({key}) => key));
    const known =
      prefix === turnObjectPrefix
        ? [...this.batches.values()].flatMap(({parts}) => [...parts.keys()])
        : [...this.reservations.keys()];
    for (const key of known) {
      if (!keys.has(key)) this.applyChange({key, object: undefined});
    }
    for (const object of objects) this.putObject(object);
  }

  /**
   * Applies one change from a watch.
   * @param change - Object that was written or removed.
   */
  applyChange({key, object}: Pick<ObjectChange, 'key' | 'object'>): void {
    if (object !== undefined) {
      this.putObject(object);
      return;
    }
    this.reservations.delete(key);
    for (const [name, {parts}] of this.batches) {
      if (parts.delete(key) && parts.size === 0) this.batches.delete(name);
    }
  }

  /**
   * Imports what the own disk lacks, and removes objects that are not needed.
   * @param isReplicated - Whether enough disks store a turn, the own one included.
   */
  async run(isReplicated: (turn: TurnId) => boolean): Promise<void> {
    const failures: unknown[] = [];
    // A failure of one object must not keep the others from being imported.
    const tryImport = async (work: Promise<void>) => {
      await work.catch((error: unknown) => failures.push(error));
    };
    for (const [name, batch] of this.batches) {
      await tryImport(this.importBatch(name, batch, isReplicated));
    }
    for (const [key, reservations] of this.reservations) {
      await tryImport(this.importReservations(key, reservations));
    }
    if (failures.length > 0) throw toMarigoldpostError(failures[0]);
  }

  private putObject(object: StoredObject): void {
    const {key} = object;
    const seenAtMs = this.options.clock.nowMs();
    if (key.startsWith(reservationPrefix)) {
      const known = this.reservations.get(key);
      if (known?.object.version === object.version) return;
      this.reservations.set(key, {object, seenAtMs, isMerged: false});
      return;
    }
    // A part never changes.
    if ([...this.batches.values()].some(({parts}) => parts.has(key))) return;
    const part = decodeTurnBatchPart(object);
    if (part === undefined) this.options.onIgnored?.(object);
    // A malformed object is a batch of its own, which expires.
    const name = part?.batch ?? key;
    const batch: Batch = this.batches.get(name) ?? {
      parts: new Map(),
      seenAtMs,
      records: undefined,
      ids: [],
    };
    this.batches.set(name, batch);
    batch.parts.set(key, part);
    const parts = [...batch.parts.values()].filter((one) => one !== undefined);
    batch.records = joinTurnBatch(parts);
    if (batch.records === undefined) return;
    batch.ids = batch.records.map(({id}) => id);
    for (const partKey of batch.parts.keys()) {
      batch.parts.set(partKey, undefined);
    }
  }

  private async importReservations(
    key: string,
    reservations: ReservationObject,
  ): Promise<void> {
    const {archive, clock, store, onIgnored} = this.options;
    if (clock.nowMs() - reservations.seenAtMs > maxAgeMs) {
      await store.removeObject(key, reservations.object.version);
      this.reservations.delete(key);
    } else if (!reservations.isMerged) {
      const ledgers = decodeReservations(reservations.object);
      if (ledgers === undefined) onIgnored?.(reservations.object);
      else await archive.mergeLedgers(ledgers);
      reservations.isMerged = true;
    }
  }

  private async importBatch(
    name: string,
    batch: Batch,
    isReplicated: (turn: TurnId) => boolean,
  ): Promise<void> {
    const {archive, clock} = this.options;
    const ageMs = clock.nowMs() - batch.seenAtMs;
    if (ageMs > maxAgeMs && !this.isRetained(batch)) {
      await this.removeBatch(name, batch);
      return;
    }
    const rank = this.getRank(name);
    const isDue = ageMs >= rank * precedenceMs;
    if (batch.records !== undefined && isDue && !archive.isSealed) {
      await archive.storeTurns(batch.records);
      this.options.onImported?.(name, batch.records.length);
      batch.records = undefined;
    }
    const {pool} = this.options;
    // Until its disk is registered, nobody asks this archive for a turn.
    const isNeeded =
      batch.ids.length === 0 ||
      !batch.ids.every(isReplicated) ||
      !pool.isOwnDiskRegistered(archive.disk);
    if (!isNeeded && ageMs >= rank * precedenceMs) {
      await this.removeBatch(name, batch);
    }
  }

  /**
   * Whether the own disk lacks turns of a batch, or retains them, as ancestors of
   * a chain that goes on.
   */
  private isRetained({records, ids}: Batch): boolean {
    const {archive} = this.options;
    return records !== undefined || ids.some((id) => archive.hasTurn(id));
  }

  private async removeBatch(name: string, batch: Batch): Promise<void> {
    const {store, onRemoved} = this.options;
    for (const key of [...batch.parts.keys()]) {
      await store.removeObject(key);
      batch.parts.delete(key);
    }
    this.batches.delete(name);
    onRemoved?.(name, batch.ids.length);
  }

  /** Gets the number of archives that precede this one for a batch. */
  private getRank(batch: string): number {
    const {pool, daemon} = this.options;
    const getHash = (id: DaemonId) => getHashNumber(`${batch} ${id}`);
    const ownHash = getHash(daemon);
    return pool
      .getClients()
      .filter(({member}) => getHash(member.daemon) < ownHash).length;
  }
}
