/** Queue of records that are not yet durable. */
import {Deferred} from '@marigoldpost/common';
import {maxSegmentBytes} from '../segments/segment.js';
import type {UncommittedRecords} from './journal_options.js';

/** One queued record, with its position and the promise of its commit. */
export interface QueuedRecord {
  readonly text: string;
  readonly bytes: number;
  readonly sequence: number;
  readonly durable: Deferred<void>;
  /** Ordinal of the segment that contains the record; undefined before that. */
  ordinal: number | undefined;
}

/**
 * Queues records by sequence number; a batch stays queued until it is written.
 */
export class RecordQueue {
  private readonly records: QueuedRecord[] = [];
  private nextSequence = 0;
  private batchSize = 0;
  private bytes = 0;
  private last: QueuedRecord | undefined;

  private constructor() {}

  /** Creates a queue without records; sequence numbers start at 0. */
  static create(): RecordQueue {
    return new RecordQueue();
  }

  /** Size of all queued records, in bytes. */
  get uncommittedBytes(): number {
    return this.bytes;
  }

  /** Whether a queued record is not part of the current batch. */
  get hasWaiting(): boolean {
    return this.records.length > this.batchSize;
  }

  /** Newest record ever added, or undefined. */
  get lastRecord(): QueuedRecord | undefined {
    return this.last;
  }

  /**
   * Adds a record at the end of the queue.
   * @param text - JSON text of the record.
   */
  addRecord(text: string): QueuedRecord {
    const record: QueuedRecord = {
      text,
      bytes: Buffer.byteLength(text) + 1,
      sequence: this.nextSequence++,
      durable: Deferred.create<void>(),
      ordinal: undefined,
    };
    // A lazy record need not be awaited: `onFenced` of the journal reports the
    // failure.
    record.durable.promise.catch(() => undefined);
    this.records.push(record);
    this.bytes += record.bytes;
    this.last = record;
    return record;
  }

  /**
   * Gets the records for the next segment, as many as fit; they form the
   * current batch.
   * @param ordinal - Ordinal of the segment.
   */
  takeBatch(ordinal: number): readonly QueuedRecord[] {
    let bytes = 0;
    let size = 0;
    for (const record of this.records) {
      bytes += record.bytes;
      if (bytes > maxSegmentBytes && size > 0) break;
      record.ordinal = ordinal;
      size += 1;
    }
    this.batchSize = size;
    return this.records.slice(0, size);
  }

  /** Removes the written batch and resolves its records as durable. */
  completeBatch(): void {
    const batch = this.records.splice(0, this.batchSize);
    this.batchSize = 0;
    for (const record of batch) {
      this.bytes -= record.bytes;
      record.durable.resolve();
    }
  }

  /**
   * Removes all records and rejects them.
   * @param error - Error that their promises are rejected with.
   */
  fail(error: Error): void {
    this.batchSize = 0;
    this.bytes = 0;
    for (const record of this.records.splice(0)) record.durable.reject(error);
  }

  /** Gets all queued records, the current batch included. */
  getUncommitted(): UncommittedRecords {
    const firstSequence = this.records[0]?.sequence ?? this.nextSequence;
    return {firstSequence, records: this.records.map(({text}) => text)};
  }
}
