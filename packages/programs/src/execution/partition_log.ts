/** A partition's journal together with the state built from its records. */
import {
  isErrorOfKind,
  type Epoch,
  type PartitionId,
  type ProgramId,
} from '@marigoldpost/common';
import type {
  AddOptions,
  Journal,
  UncommittedRecords,
} from '@marigoldpost/journal';
import type {ProgramRecord} from '../records/program_record.js';
import type {PartitionState} from '../state/partition_state.js';
import type {BudgetAccount} from '../state/program_state.js';
import type {RecordCopier} from './record_copier.js';

/** Journal, state and replication of one partition. */
export interface PartitionLogParts {
  readonly partition: PartitionId;
  readonly epoch: Epoch;
  readonly journal: Journal<ProgramRecord>;
  readonly state: PartitionState;
  readonly copier?: RecordCopier;
}

/**
 * Appends records to the journal and applies them to the state in one step, so
 * that both have the same order.
 */
export class PartitionLog {
  /** Newest commit that changes an account's cap; removed once it settles. */
  private readonly capCommits = new Map<BudgetAccount, Promise<void>>();

  private constructor(private readonly parts: PartitionLogParts) {}

  /**
   * Creates a log.
   * @param parts - Journal behind a seal, and the replayed state.
   */
  static create(parts: PartitionLogParts): PartitionLog {
    return new PartitionLog(parts);
  }

  /** State after all records that were added so far. */
  get state(): PartitionState {
    return this.parts.state;
  }

  /** Journal that the records are appended to. */
  get journal(): Journal<ProgramRecord> {
    return this.parts.journal;
  }

  /** Partition that the log belongs to. */
  get partition(): PartitionId {
    return this.parts.partition;
  }

  /** Epoch in which this daemon holds the partition. */
  get epoch(): Epoch {
    return this.parts.epoch;
  }

  /**
   * Adds a record and applies it. Throws `fenced`, `platform_unavailable` and
   * `too_large`; the record is then not applied.
   * @param record - Record to append.
   * @param options - Whether its write may be delayed, and whether it is
   * accepted beyond the bound on uncommitted bytes.
   * @returns Settled when the record is durable; need not be awaited.
   */
  commit(record: ProgramRecord, options: AddOptions = {}): Promise<void> {
    const durable = this.parts.journal.addRecord(record, options);
    this.parts.state.apply(record);
    if ('cap' in record && record.cap) this.trackCap(record.program, durable);
    return durable;
  }

  /**
   * Gets the pending commit of an account's cap, or undefined when the cap is
   * durable.
   * @param account - Budget account of a root program.
   */
  getCapCommit(account: BudgetAccount): Promise<void> | undefined {
    return this.capCommits.get(account);
  }

  /**
   * Waits until a record is durable or, while the platform is unavailable, is
   * buffered here and copied to a peer, if one accepts it. Throws `fenced`,
   * also when the peer knows of a successor.
   * @param durable - Promise returned by the commit.
   * @returns Whether the record is durable.
   */
  waitForCommitOrCopy(durable: Promise<void>): Promise<boolean> {
    return this.parts.journal.waitUntilDurableOrBuffered(durable, {
      onBuffered: (records) => this.copyToPeer(records),
    });
  }

  private trackCap(program: ProgramId, durable: Promise<void>): void {
    const {state} = this.parts;
    const programState = state.getProgram(program);
    if (programState === undefined) return;
    const {account} = state.getRoot(programState);
    const remove = () => {
      if (this.capCommits.get(account) === durable) {
        this.capCommits.delete(account);
      }
    };
    this.capCommits.set(account, durable);
    durable.then(remove, remove);
  }

  private async copyToPeer(records: UncommittedRecords): Promise<void> {
    const {copier, epoch, partition} = this.parts;
    if (copier === undefined || records.records.length === 0) return;
    try {
      const {firstSequence} = records;
      await copier.copyRecords(
        partition,
        epoch,
        firstSequence,
        records.records,
      );
    } catch (error) {
      // When no peer accepts the copy, the records are buffered only here.
      if (!isErrorOfKind(error) || error.kind === 'fenced') throw error;
    }
  }
}
