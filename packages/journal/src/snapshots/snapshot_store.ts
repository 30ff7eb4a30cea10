/** Storage of partition snapshots, in chunks that fit the object API. */
import {
  isErrorOfKind,
  MarigoldpostError,
  type PartitionId,
} from '@marigoldpost/common';
import {
  WriteResolver,
  type ObjectStore,
  type StoredObject,
} from '@marigoldpost/platform';
import type {SnapshotReference} from '../segments/segment.js';
import {splitText} from './text_splitter.js';

const numberDigits = 10;

/** Identifies a snapshot within its partition. */
export type SnapshotName = Pick<SnapshotReference, 'epoch' | 'nonce'>;

/** Writes, reads and removes the snapshots of one partition. */
export class SnapshotStore {
  private constructor(
    private readonly store: ObjectStore,
    private readonly partition: PartitionId,
  ) {}

  /**
   * Creates a store of snapshots.
   * @param store - Object store that has the chunks.
   * @param partition - Partition of the snapshots.
   */
  static create(store: ObjectStore, partition: PartitionId): SnapshotStore {
    return new SnapshotStore(store, partition);
  }

  /**
   * Writes the chunks of a snapshot. It takes effect only once a segment refers
   * to it.
   * @param name - Name that was never used before.
   * @param records - JSON text of each record.
   * @param retryUntilSuccess - Runs a write until it succeeds.
   * @returns Number of chunks.
   */
  async writeSnapshot(
    name: SnapshotName,
    records: readonly string[],
    retryUntilSuccess: <Result>(
      write: () => Promise<Result>,
    ) => Promise<Result>,
  ): Promise<number> {
    const resolver = WriteResolver.create(this.store);
    const chunks = splitText(records.join('\n'));
    for (const [index, chunk] of chunks.entries()) {
      const key = this.getKey(name, index);
      await retryUntilSuccess(() =>
        resolver.createObject(key, JSON.stringify(chunk)),
      );
    }
    return chunks.length;
  }

  /**
   * Reads a snapshot's records; throws `internal` when a chunk is missing.
   * @param reference - Snapshot in force.
   */
  async readSnapshot(reference: SnapshotReference): Promise<unknown[]> {
    const objects = await this.listAllObjects(`${this.getPrefix(reference)}/`);
    if (objects.length < reference.chunks) {
      throw MarigoldpostError.create(
        'internal',
        `snapshot "${this.getPrefix(reference)}" is incomplete: found ${objects.length} of ${reference.chunks} chunks`,
      );
    }
    const chunks = objects.map(({value}) => JSON.parse(value) as string);
    const text = chunks.join('');
    const lines = text === '' ? [] : text.split('\n');
    return lines.map((line) => JSON.parse(line) as unknown);
  }

  /**
   * Removes a snapshot that no segment refers to any longer. After the first
   * error of the store, the remaining chunks are left in place.
   * @param reference - Superseded snapshot.
   */
  async removeSnapshot(reference: SnapshotReference): Promise<void> {
    try {
      for (let index = 0; index < reference.chunks; index++) {
        await this.store.removeObject(this.getKey(reference, index));
      }
    } catch (error) {
      if (!isErrorOfKind(error)) throw error;
    }
  }

  private async listAllObjects(prefix: string): Promise<StoredObject[]> {
    const objects: StoredObject[] = [];
    for (;;) {
      const afterKey = objects.at(-1)?.key;
      const page = await this.store.listObjects(prefix, {afterKey});
      if (page.length === 0) return objects;
      objects.push(...page);
    }
  }

  private getPrefix({epoch, nonce}: SnapshotName): string {
    return `snapshots/${this.partition}/${pad(epoch)}-${nonce}`;
  }

  private getKey(name: SnapshotName, index: number): string {
    return `${this.getPrefix(name)}/${pad(index)}`;
  }
}

function pad(value: number): string {
  return String(value).padStart(numberDigits, '0');
}
