/** Turns and budgets on the disk of one archive VM. */
import {
  type Clock,
  MarigoldpostError,
  type ProgramId,
  type Random,
  toId,
} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import {
  BudgetLedger,
  type LedgerEntry,
  type Reservation,
  type ReservationResult,
} from '../ledger/budget_ledger.js';
import {type DiskId, readDiskIdentity} from '../log/disk_identity.js';
import {EntryLog, type EntryPosition} from '../log/entry_log.js';
import type {LogFolder} from '../log/log_folder.js';
import {
  decodeArchiveEntry,
  encodeArchiveEntry,
  type ProgramEntries,
} from '../records/turn_codec.js';
import type {PartialChain, TurnRecord} from '../records/turn_record.js';
import {type IndexedTurn, TurnIndex} from './turn_index.js';

/**
 * Programs are remembered this long after their last change: twice the longest
 * retention of a turn, since a program may come back as long as a turn is kept.
 */
const ledgerRetentionMs = 120_000;
const sweepIntervalMs = 5000;

/** Options of an archive. */
export interface ArchiveOptions {
  readonly folder: LogFolder;
  readonly clock: Clock;
  readonly random: Random;
  /** Called for each turn that has become durable here. */
  readonly onStored?: (turn: IndexedTurn) => void;
  /** Called when files could not be removed. */
  readonly onSweepFailed?: (error: unknown) => void;
}

/** Archive of one VM. */
export class Archive {
  private readonly storing = new Map<TurnId, Promise<void>>();

  private constructor(
    private readonly options: ArchiveOptions,
    private readonly log: EntryLog,
    private readonly index: TurnIndex,
    private readonly ledger: BudgetLedger,
    /** Contents of the disk since it was last empty. */
    readonly disk: DiskId,
  ) {}

  /**
   * Opens the archive and reads its disk.
   * @param options - Folder and clock.
   */
  static async open(options: ArchiveOptions): Promise<Archive> {
    const {folder, clock, random} = options;
    const index = TurnIndex.create();
    const ledger = BudgetLedger.create();
    const nowMs = clock.nowMs();
    const disk = await readDiskIdentity(folder, random);
    const log = await EntryLog.open({
      folder,
      clock,
      onRecovered: ({position, bytes}) => {
        const entry = decodeArchiveEntry(bytes);
        index.keepSegment(position.segment, nowMs + ledgerRetentionMs);
        if (entry?.kind === 'ledger') mergeLedger(ledger, entry.ledger, nowMs);
        if (entry?.kind !== 'turn') return;
        index.add(entry.turn, position, nowMs);
        settleTurn(ledger, entry.turn, nowMs);
      },
    });
    return new Archive(options, log, index, ledger, disk);
  }

  /** Number of turns held. */
  get turnCount(): number {
    return this.index.size;
  }

  /** Number of programs in the ledger. */
  get programCount(): number {
    return this.ledger.size;
  }

  /** Gets every turn held, oldest first. */
  getTurns(): IterableIterator<IndexedTurn> {
    return this.index.getAll();
  }

  /**
   * Checks whether a turn is on the disk.
   * @param id - The turn.
   */
  hasTurn(id: TurnId): boolean {
    return this.index.get(id) !== undefined;
  }

  /**
   * Stores turns; resolves once they are durable. Those already held are left
   * alone.
   * @param records - The turns.
   */
  async storeTurns(records: readonly TurnRecord[]): Promise<void> {
    await Promise.all(records.map((record) => this.storeTurn(record)));
  }

  /**
   * Reserves tokens for an attempt; resolves once that is durable.
   * @param reservation - What to reserve.
   */
  async reserve(reservation: Reservation): Promise<ReservationResult> {
    const result = this.ledger.reserve(reservation, this.nowMs());
    if (!result.isNew) return result;
    const {program, attempt, tokens} = reservation;
    const entries = [{attempt, tokens, isSettled: false}];
    await this.appendLedger({program, entries});
    return result;
  }

  /**
   * Adds ledger entries of a requester or of another archive; resolves once
   * what is new is durable.
   * @param ledgers - Entries by program.
   */
  async mergeLedgers(ledgers: readonly ProgramEntries[]): Promise<void> {
    const nowMs = this.nowMs();
    const changed = ledgers
      .map((ledger) => ({
        program: ledger.program,
        entries: mergeLedger(this.ledger, ledger, nowMs),
      }))
      .filter(({entries}) => entries.length > 0);
    await Promise.all(changed.map((ledger) => this.appendLedger(ledger)));
  }

  /** Gets the whole ledger. */
  getLedgers(): ProgramEntries[] {
    return this.ledger
      .getPrograms()
      .map((program) => ({program, entries: this.ledger.getEntries(program)}));
  }

  /**
   * Gets the ledger of one program.
   * @param program - The program.
   */
  getLedger(program: ProgramEntries['program']): ProgramEntries {
    return {program, entries: this.ledger.getEntries(program)};
  }

  /**
   * Reads a turn and the turns before it, as far as they are held.
   * @param id - The turn.
   */
  async readChain(id: TurnId): Promise<PartialChain> {
    const turns: TurnRecord[] = [];
    let next: TurnId | undefined = id;
    while (next !== undefined) {
      const indexed = this.index.get(next);
      if (indexed === undefined) break;
      turns.push(await this.readTurn(indexed));
      next = indexed.previous;
    }
    return {turns: turns.toReversed(), missing: next};
  }

  /**
   * Reads a turn; throws `archive_unavailable` when the disk lost it.
   * @param indexed - The turn.
   */
  async readTurn(indexed: IndexedTurn): Promise<TurnRecord> {
    const bytes = await this.log.read(indexed.position);
    const entry = bytes === undefined ? undefined : decodeArchiveEntry(bytes);
    if (entry?.kind === 'turn') return entry.turn;
    throw MarigoldpostError.create(
      'archive_unavailable',
      `turn "${indexed.id}" cannot be read from the disk`,
    );
  }

  /** Makes an empty entry durable, as a check of the disk. */
  async checkDisk(): Promise<void> {
    await this.appendLedger({program: toId<ProgramId>('none'), entries: []});
  }

  /**
   * Removes what has expired, until stopped.
   * @param signal - Ends the work.
   */
  async sweep(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.options.clock.sleep(sweepIntervalMs, signal);
      await this.removeExpired();
    }
  }

  /** Closes the log. */
  close(): void {
    this.log.close();
  }

  private async removeExpired(): Promise<void> {
    const nowMs = this.nowMs();
    this.ledger.removeIdle(nowMs - ledgerRetentionMs);
    const current = this.log.currentSegment;
    for (const segment of this.index.removeExpired(nowMs)) {
      if (segment === current) continue;
      try {
        await this.log.removeSegment(segment);
      } catch (error) {
        this.options.onSweepFailed?.(error);
      }
    }
  }

  private storeTurn(record: TurnRecord): Promise<void> {
    const {id} = record;
    if (this.hasTurn(id)) return Promise.resolve();
    const underWay = this.storing.get(id);
    if (underWay !== undefined) return underWay;
    const stored = this.appendTurn(record).finally(() =>
      this.storing.delete(id),
    );
    this.storing.set(id, stored);
    return stored;
  }

  private async appendTurn(record: TurnRecord): Promise<void> {
    const entry = encodeArchiveEntry({kind: 'turn', turn: record});
    const position = await this.log.append(entry);
    const nowMs = this.nowMs();
    this.keepSegment(position);
    settleTurn(this.ledger, record, nowMs);
    const indexed = this.index.add(record, position, nowMs);
    this.options.onStored?.(indexed);
  }

  private async appendLedger(ledger: ProgramEntries): Promise<void> {
    const entry = encodeArchiveEntry({kind: 'ledger', ledger});
    this.keepSegment(await this.log.append(entry));
  }

  private keepSegment({segment}: EntryPosition): void {
    this.index.keepSegment(segment, this.nowMs() + ledgerRetentionMs);
  }

  private nowMs(): number {
    return this.options.clock.nowMs();
  }
}

/** Merges entries; gets those that said something new. */
function mergeLedger(
  ledger: BudgetLedger,
  {program, entries}: ProgramEntries,
  nowMs: number,
): LedgerEntry[] {
  return entries.filter((entry) => ledger.mergeEntry(program, entry, nowMs));
}

function settleTurn(
  ledger: BudgetLedger,
  {program, id, tokens}: TurnRecord,
  nowMs: number,
): void {
  ledger.mergeEntry(program, {attempt: id, tokens, isSettled: true}, nowMs);
}
