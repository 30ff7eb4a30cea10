/** Which daemon holds which partition. */
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

/** One partition's entry. */
export interface PartitionEntry {
  readonly partition: PartitionId;
  readonly holder: DaemonId;
  readonly epoch: Epoch;
}

/** A change of holder. */
export interface PartitionClaim {
  readonly partition: PartitionId;
  /** Daemon that is to hold it. */
  readonly holder: DaemonId;
  /** Epoch that the claim was decided on; 0 when nobody has held it. */
  readonly expectedEpoch: Epoch;
}

interface VersionedEntry extends PartitionEntry {
  readonly version: number;
}

const entrySchema = z.object({
  holder: z.string().transform((text) => toId<DaemonId>(text)),
  epoch: z.number().transform(toEpoch),
});

/** Entries in the object API, changed by conditional update. */
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
   * Creates a directory.
   * @param store - Where the entries are.
   * @param random - Source of the nonces that tell claims apart.
   */
  static create(store: ObjectStore, random: Random): PartitionDirectory {
    return new PartitionDirectory(store, random);
  }

  /**
   * Reads the entries of a data centre's partitions that were ever held.
   * @param dataCentre - The data centre.
   */
  async readPartitions(
    dataCentre: DataCentreId,
  ): Promise<readonly PartitionEntry[]> {
    const objects = await this.store.listObjects(`${keyPrefix}${dataCentre}.`);
    return objects.map((object) => this.remember(object));
  }

  /**
   * Reads one entry; nothing when the partition was never held.
   * @param partition - The partition.
   */
  async readPartition(
    partition: PartitionId,
  ): Promise<PartitionEntry | undefined> {
    const object = await this.store.getObject(`${keyPrefix}${partition}`);
    return object === undefined ? undefined : this.remember(object);
  }

  /**
   * Sets a partition's holder and raises its epoch by one. Throws
   * `version_conflict` when another claim came first, `store_unavailable`, and
   * `store_ambiguous` when it stayed open whether the claim took effect.
   * @param claim - Partition, holder and the epoch before.
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
    if (result.object !== undefined) this.remember(result.object);
    if (!result.isApplied) throw createConflict(partition, expectedEpoch);
    return {partition, holder, epoch};
  }

  /** Gets the version of the entry that has an epoch. */
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

  private remember(object: StoredObject): PartitionEntry {
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
    `partition "${partition}" is past epoch ${epoch}`,
  );
}
