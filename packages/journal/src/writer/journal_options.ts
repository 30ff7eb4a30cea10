/** Options of a journal and of its operations. */
import type {
  Clock,
  DaemonId,
  Epoch,
  PartitionId,
  Random,
} from '@marigoldpost/common';
import type {ObjectStore} from '@marigoldpost/platform';
import type {JournalTail} from '../segments/journal_tail.js';

/** Partition, holder, dependencies and limits of a journal. */
export interface JournalOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly partition: PartitionId;
  readonly epoch: Epoch;
  /** Daemon that holds the partition. */
  readonly writer: DaemonId;
  /** State of the slots after this holder's seal. */
  readonly tail: JournalTail;
  /** Gets the limit on records that are not yet durable, in bytes. */
  readonly getMaxUncommittedBytes: () => number;
  /** Gets the state after all records so far, as records in JSON text. */
  readonly getSnapshot: () => string[];
  /** Called once, when the journal fails, as when a newer holder seals it. */
  readonly onFenced?: () => void;
  /** Duration of a write after which the platform counts as down, in ms. */
  readonly stallMs?: number;
  /** Longest delay of the write of a lazy record, in milliseconds. */
  readonly lazyMs?: number;
}

/** Urgency and priority of a record. */
export interface AddOptions {
  /** Delays the write, for a bounded time, to share that of another record. */
  readonly isLazy?: boolean;
  /**
   * Accepts the record beyond the limit on uncommitted bytes, since it ends a
   * request.
   */
  readonly isEssential?: boolean;
}

/** Consecutive records of one epoch that are not yet durable. */
export interface UncommittedRecords {
  /** Sequence number, within the epoch, of the first record. */
  readonly firstSequence: number;
  /** JSON text of each record, in order. */
  readonly records: readonly string[];
}

/** Options of an append that may resolve before the record is durable. */
export interface BufferedOptions {
  /** Copies the uncommitted records elsewhere, before the append resolves. */
  readonly onBuffered: (records: UncommittedRecords) => Promise<void>;
}
