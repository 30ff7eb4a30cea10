/** In-memory store of copies of other daemons' uncommitted records. */
import type {Epoch, PartitionId} from '@marigoldpost/common';
import {MarigoldpostError} from '@marigoldpost/common';
import type {CopiedRecords} from '@marigoldpost/programs';

/** Stores copies by partition; keeps only the newest epoch of each. */
export class RecordCopyStore {
  private readonly copies = new Map<PartitionId, PartitionCopies>();
  /** Newest epoch of each partition that a successor has sealed. */
  private readonly sealed = new Map<PartitionId, Epoch>();
  private bytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Creates an empty store.
   * @param maxBytes - Maximum size of all copies together.
   */
  static create(maxBytes: number): RecordCopyStore {
    return new RecordCopyStore(maxBytes);
  }

  /**
   * Adds records; replaces stored records from the first new sequence number
   * on. Throws `overloaded` when the store is full, and `fenced` once a
   * successor has fetched the epoch's copies, since it would never receive
   * these.
   * @param partition - Partition of the records.
   * @param epoch - Epoch in which the holder wrote them.
   * @param copied - The records, and the sequence number of the first.
   */
  addRecords(
    partition: PartitionId,
    epoch: Epoch,
    copied: CopiedRecords,
  ): void {
    const current = this.copies.get(partition);
    this.checkNotSealed(partition, epoch);
    const before = current?.epoch === epoch ? current : undefined;
    const merged = mergeRecords(before?.copied, copied);
    const bytes = countBytes(merged.records);
    const total = this.bytes - (current?.bytes ?? 0) + bytes;
    if (total > this.maxBytes) {
      const message = `cannot store copies of partition "${partition}": the copies would take ${total} bytes, the limit is ${this.maxBytes}`;
      throw MarigoldpostError.create('overloaded', message);
    }
    this.bytes = total;
    this.copies.set(partition, {epoch, copied: merged, bytes});
  }

  /**
   * Gets the stored records of an epoch that a successor has sealed;
   * `undefined` if there are none. Records of this epoch or an older one are
   * rejected from then on.
   * @param partition - Partition that the successor takes over.
   * @param epoch - The sealed epoch.
   */
  sealRecords(partition: PartitionId, epoch: Epoch): CopiedRecords | undefined {
    const before = this.sealed.get(partition);
    if (before === undefined || before < epoch) {
      this.sealed.set(partition, epoch);
    }
    const current = this.copies.get(partition);
    return current?.epoch === epoch ? current.copied : undefined;
  }

  private checkNotSealed(partition: PartitionId, epoch: Epoch): void {
    const sealedEpoch = this.sealed.get(partition) ?? -1;
    const keptEpoch = this.copies.get(partition)?.epoch ?? epoch;
    if (epoch > sealedEpoch && epoch >= keptEpoch) return;
    const message = `copies of epoch ${epoch} of partition "${partition}" are rejected: a successor has sealed the epoch or started a newer one`;
    throw MarigoldpostError.create('fenced', message);
  }
}

interface PartitionCopies {
  readonly epoch: Epoch;
  readonly copied: CopiedRecords;
  readonly bytes: number;
}

function mergeRecords(
  before: CopiedRecords | undefined,
  added: CopiedRecords,
): CopiedRecords {
  if (before === undefined) return added;
  const keptCount = added.firstSequence - before.firstSequence;
  if (keptCount < 0 || keptCount > before.records.length) return added;
  return {
    firstSequence: before.firstSequence,
    records: [...before.records.slice(0, keptCount), ...added.records],
  };
}

function countBytes(records: readonly string[]): number {
  return records.reduce((sum, record) => sum + Buffer.byteLength(record), 0);
}
