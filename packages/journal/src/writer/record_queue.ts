/** Records on their way into segments. */
import {Deferred} from '@marigoldpost/common';
import {maxSegmentBytes} from '../segments/segment.js';
import type {UncommittedRecords} from './journal_options.js';

/** One record that is not yet durable. */
export interface QueuedRecord {
  readonly text: string;
  readonly bytes: number;
  readonly sequence: number;
  readonly durable: Deferred<void>;
  /** Segment that the record went into. */
  ordinal: number | undefined;
}

/** Queue in order of sequence numbers; the batch being written stays in it. */
export class RecordQueue {
  private readonly records: QueuedRecord[] = [];
  private nextSequence = 0;
  private batchSize = 0;
  private bytes = 0;
  private last: QueuedRecord | undefined;

  private constructor() {}

  /** Creates an empty queue. */
  static create(): RecordQueue {
    return new RecordQueue();
  }

  /** Bytes of all records that are not durable. */
  get uncommittedBytes(): number {
    return this.bytes;
  }

  /** Whether records wait that are in no batch. */
  get hasWaiting(): boolean {
    return this.records.length > this.batchSize;
  }

  /** The newest record ever added. */
  get lastRecord(): QueuedRecord | undefined {
    return this.last;
  }

  /**
   * Adds a record.
   * @param text - Its JSON text.
   */
  addRecord(text: string): QueuedRecord {
    const record: QueuedRecord = {
      text,
      bytes: Buffer.byteLength(text) + 1,
      sequence: this.nextSequence++,
      durable: Deferred.create<void>(),
      ordinal: undefined,
    };
    // A lazy record's failure is told by the journal's own listener.
    record.durable.promise.catch(() => undefined);
    this.records.push(record);
    this.bytes += record.bytes;
    this.last = record;
    return record;
  }

  /**
   * Gets the records for the next segment.
   * @param ordinal - The segment.
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

  /** Settles the batch that was written. */
  completeBatch(): void {
    const batch = this.records.splice(0, this.batchSize);
    this.batchSize = 0;
    for (const record of batch) {
      this.bytes -= record.bytes;
      record.durable.resolve();
    }
  }

  /**
   * Fails every record.
   * @param error - The reason.
   */
  fail(error: Error): void {
    this.batchSize = 0;
    this.bytes = 0;
    for (const record of this.records.splice(0)) record.durable.reject(error);
  }

  /** Gets everything that is not durable. */
  getUncommitted(): UncommittedRecords {
    const firstSequence = this.records[0]?.sequence ?? this.nextSequence;
    return {firstSequence, records: this.records.map(({text}) => text)};
  }
}
