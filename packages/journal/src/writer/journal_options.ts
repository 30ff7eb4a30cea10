/** What a journal needs and what it is asked for. */
import type {
  Clock,
  DaemonId,
  Epoch,
  PartitionId,
  Random,
} from '@marigoldpost/common';
import type {ObjectStore} from '@marigoldpost/platform';
import type {JournalTail} from '../segments/journal_tail.js';

/** Options of a journal. */
export interface JournalOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly partition: PartitionId;
  readonly epoch: Epoch;
  /** The holder. */
  readonly writer: DaemonId;
  /** Where the seal left off. */
  readonly tail: JournalTail;
  /** Gets the bound on what waits to be written, in bytes. */
  readonly getMaxUncommittedBytes: () => number;
  /** Gets the state that all records so far led to, as JSON text of records. */
  readonly getSnapshot: () => string[];
  /** Called once when a newer holder has taken over. */
  readonly onFenced?: () => void;
  /** Time after which the platform counts as down, in milliseconds. */
  readonly stallMs?: number;
  /** Longest wait of a lazy record, in milliseconds. */
  readonly lazyMs?: number;
}

/** How a record is added. */
export interface AddOptions {
  /** Waits for another record's write, for a bounded time. */
  readonly isLazy?: boolean;
  /** Taken even when too much waits already, since it ends a request. */
  readonly isEssential?: boolean;
}

/** Records that wait to be written. */
export interface UncommittedRecords {
  readonly firstSequence: number;
  /** JSON text of each record, in order. */
  readonly records: readonly string[];
}

/** Options of an append that may end before the record is durable. */
export interface BufferedOptions {
  /** Makes copies of what waits, before the append ends. */
  readonly onBuffered: (records: UncommittedRecords) => Promise<void>;
}
