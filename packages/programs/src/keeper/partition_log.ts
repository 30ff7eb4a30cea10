/** A partition's journal together with the state that it leads to. */
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

/** Parts of a log. */
export interface PartitionLogParts {
  readonly partition: PartitionId;
  readonly epoch: Epoch;
  readonly journal: Journal<ProgramRecord>;
  readonly state: PartitionState;
  readonly copier?: RecordCopier;
}

/** Appends records and applies them in the same step, so both keep one order. */
export class PartitionLog {
  /** Newest commit that changes the cap of an account, until it is durable. */
  private readonly capCommits = new Map<BudgetAccount, Promise<void>>();

  private constructor(private readonly parts: PartitionLogParts) {}

  /**
   * Creates a log.
   * @param parts - Journal and state.
   */
  static create(parts: PartitionLogParts): PartitionLog {
    return new PartitionLog(parts);
  }

  /** The state that the records so far lead to. */
  get state(): PartitionState {
    return this.parts.state;
  }

  /** The journal. */
  get journal(): Journal<ProgramRecord> {
    return this.parts.journal;
  }

  /** The partition. */
  get partition(): PartitionId {
    return this.parts.partition;
  }

  /** The holder's epoch. */
  get epoch(): Epoch {
    return this.parts.epoch;
  }

  /**
   * Adds a record and applies it. Throws `fenced`, `platform_unavailable` and
   * `too_large`; it is then not applied.
   * @param record - The record.
   * @param options - Whether it may wait, and whether it is always taken.
   * @returns Settled when the record is durable; need not be awaited.
   */
  commit(record: ProgramRecord, options: AddOptions = {}): Promise<void> {
    const durable = this.parts.journal.addRecord(record, options);
    this.parts.state.apply(record);
    if ('cap' in record && record.cap) this.noteCap(record.program, durable);
    return durable;
  }

  /**
   * Gets the commit that the cap of an account still waits for, if any.
   * @param account - The account.
   */
  getCapCommit(account: BudgetAccount): Promise<void> | undefined {
    return this.capCommits.get(account);
  }

  /**
   * Waits until a record is durable or, with the platform down, kept here and
   * at a peer, if one takes it. Throws `fenced`, also when the peer knows of a
   * successor.
   * @param durable - What the commit gave.
   * @returns Whether the record is durable.
   */
  settle(durable: Promise<void>): Promise<boolean> {
    return this.parts.journal.waitOrBuffer(durable, {
      onBuffered: (records) => this.copy(records),
    });
  }

  private noteCap(program: ProgramId, durable: Promise<void>): void {
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

  private async copy(records: UncommittedRecords): Promise<void> {
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
      // Without a peer the records are kept here alone.
      if (!isErrorOfKind(error) || error.kind === 'fenced') throw error;
    }
  }
}
