/** Copies of other daemons' uncommitted records, kept in memory. */
import type {Epoch, PartitionId} from '@marigoldpost/common';
import {MarigoldpostError} from '@marigoldpost/common';
import type {CopiedRecords} from '@marigoldpost/programs';

/** Copies by partition; only the newest epoch of each is kept. */
export class RecordCopyStore {
  private readonly copies = new Map<PartitionId, PartitionCopies>();
  /** Newest epoch of each partition that a successor has sealed. */
  private readonly sealed = new Map<PartitionId, Epoch>();
  private bytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Creates an empty store.
   * @param maxBytes - Most bytes of copies kept.
   */
  static create(maxBytes: number): RecordCopyStore {
    return new RecordCopyStore(maxBytes);
  }

  /**
   * Adds records; those from the first one's number on are replaced. Throws
   * `overloaded` when there is no room, and `fenced` once a successor has taken
   * the epoch's copies, since it would never see these.
   * @param partition - Their partition.
   * @param epoch - Their epoch.
   * @param copied - The records.
   */
  addRecords(
    partition: PartitionId,
    epoch: Epoch,
    copied: CopiedRecords,
  ): void {
    const kept = this.copies.get(partition);
    this.checkIsOpen(partition, epoch);
    const before = kept?.epoch === epoch ? kept : undefined;
    const merged = mergeRecords(before?.copied, copied);
    const bytes = countBytes(merged.records);
    const total = this.bytes - (kept?.bytes ?? 0) + bytes;
    if (total > this.maxBytes) {
      const message = `no room for copies of partition "${partition}"`;
      throw MarigoldpostError.create('overloaded', message);
    }
    this.bytes = total;
    this.copies.set(partition, {epoch, copied: merged, bytes});
  }

  /**
   * Gets the records kept of an epoch that a successor has sealed; no more are
   * taken from then on.
   * @param partition - The partition.
   * @param epoch - The epoch.
   */
  sealRecords(partition: PartitionId, epoch: Epoch): CopiedRecords | undefined {
    const before = this.sealed.get(partition);
    if (before === undefined || before < epoch) {
      this.sealed.set(partition, epoch);
    }
    const kept = this.copies.get(partition);
    return kept?.epoch === epoch ? kept.copied : undefined;
  }

  private checkIsOpen(partition: PartitionId, epoch: Epoch): void {
    const sealedEpoch = this.sealed.get(partition) ?? -1;
    const keptEpoch = this.copies.get(partition)?.epoch ?? epoch;
    if (epoch > sealedEpoch && epoch >= keptEpoch) return;
    const message = `epoch ${epoch} of partition "${partition}" was taken over`;
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
  const kept = added.firstSequence - before.firstSequence;
  if (kept < 0 || kept > before.records.length) return added;
  return {
    firstSequence: before.firstSequence,
    records: [...before.records.slice(0, kept), ...added.records],
  };
}

function countBytes(records: readonly string[]): number {
  return records.reduce((sum, record) => sum + Buffer.byteLength(record), 0);
}
