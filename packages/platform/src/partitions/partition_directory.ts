/** Directory of the partitions and the daemons that hold them. */
import {
  MarigoldpostError,
  toEpoch,
  toId,
  type DaemonId,
  type DataCentreId,
  type Epoch,
  type PartitionId,
  type Random,
} from '@marigoldpost/common';
import * as z from 'zod';
import type {ObjectStore, StoredObject} from '../store/object_store.js';
import {WriteResolver} from '../store/write_resolver.js';

const keyPrefix = 'partitions/';
const nonceLength = 16;

/** Holder and epoch of one partition. */
export interface PartitionEntry {
  readonly partition: PartitionId;
  readonly holder: DaemonId;
  readonly epoch: Epoch;
}

/** Request to make a daemon the holder of a partition. */
export interface PartitionClaim {
  readonly partition: PartitionId;
  /** Daemon that becomes the holder. */
  readonly holder: DaemonId;
  /** Epoch that the claim is based on; 0 when it was never held. */
  readonly expectedEpoch: Epoch;
}

interface VersionedEntry extends PartitionEntry {
  readonly version: number;
}

const entrySchema = z.object({
  holder: z.string().transform((text) => toId<DaemonId>(text)),
  epoch: z.number().transform(toEpoch),
});

/** Entries in the object API that are changed by conditional writes. */
export class PartitionDirectory {
  private readonly resolver: WriteResolver;
  private readonly versions = new Map<PartitionId, VersionedEntry>();

  private constructor(
    private readonly store: ObjectStore,
    private readonly random: Random,
  ) {
    this.resolver = WriteResolver.create(store);
  }

  /**
   * Creates a directory with an empty cache of entries.
   * @param store - Object API that holds the entries.
   * @param random - Generates the nonces that distinguish claims.
   */
  static create(store: ObjectStore, random: Random): PartitionDirectory {
    return new PartitionDirectory(store, random);
  }

  /**
   * Reads the entries of all partitions of a data centre that were ever held.
   * @param dataCentre - Data centre of the partitions.
   */
  async readPartitions(
    dataCentre: DataCentreId,
  ): Promise<readonly PartitionEntry[]> {
    const objects = await this.store.listObjects(`${keyPrefix}${dataCentre}.`);
    return objects.map((object) => this.cacheEntry(object));
  }

  /**
   * Reads one entry; undefined when the partition was never held.
   * @param partition - Partition to look up.
   */
  async readPartition(
    partition: PartitionId,
  ): Promise<PartitionEntry | undefined> {
    const object = await this.store.getObject(`${keyPrefix}${partition}`);
    return object === undefined ? undefined : this.cacheEntry(object);
  }

  /**
   * Sets a partition's holder and increments its epoch. Throws
   * `version_conflict` when another claim came first, `store_unavailable` when
   * the claim had no effect, and `store_ambiguous` when it is unknown whether
   * it took effect.
   * @param claim - Partition, new holder and expected epoch.
   */
  async claimPartition(claim: PartitionClaim): Promise<PartitionEntry> {
    const {partition, holder, expectedEpoch} = claim;
    const epoch = toEpoch(expectedEpoch + 1);
    const nonce = this.random.nextToken(nonceLength);
    const value = JSON.stringify({holder, epoch, nonce});
    const key = `${keyPrefix}${partition}`;
    const version = await this.getVersion(partition, expectedEpoch);
    const result =
      version === undefined
        ? await this.resolver.createObject(key, value)
        : await this.resolver.updateObject(key, value, version);
    if (result.object !== undefined) this.cacheEntry(result.object);
    if (!result.isApplied) throw createConflict(partition, expectedEpoch);
    return {partition, holder, epoch};
  }

  /**
   * Gets the object version of an entry at a given epoch; undefined when there
   * is no entry. Throws `version_conflict` when the epoch differs.
   */
  private async getVersion(
    partition: PartitionId,
    epoch: Epoch,
  ): Promise<number | undefined> {
    const known = this.versions.get(partition);
    if (known?.epoch === epoch) return known.version;
    const current = await this.readPartition(partition);
    if ((current?.epoch ?? 0) !== epoch) throw createConflict(partition, epoch);
    return this.versions.get(partition)?.version;
  }

  private cacheEntry(object: StoredObject): PartitionEntry {
    const partition = toId<PartitionId>(object.key.slice(keyPrefix.length));
    const {holder, epoch} = entrySchema.parse(JSON.parse(object.value));
    const {version} = object;
    this.versions.set(partition, {partition, holder, epoch, version});
    return {partition, holder, epoch};
  }
}

function createConflict(
  partition: PartitionId,
  epoch: Epoch,
): MarigoldpostError {
  return MarigoldpostError.create(
    'version_conflict',
    `partition "${partition}" is no longer at epoch ${epoch}`,
  );
}
