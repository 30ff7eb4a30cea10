/** Stores turns and token budgets on the disk of one archive VM. */
import {
  type Clock,
  type ProgramId,
  type Random,
  toId,
} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {QuarantineEntry} from '@marigoldpost/targets';
import {
  BudgetLedger,
  type LedgerEntry,
  type Reservation,
  type ReservationResult,
} from '../ledger/budget_ledger.js';
import {LedgerSegments} from '../ledger/ledger_segments.js';
import {UnwrittenEntries} from '../ledger/unwritten_entries.js';
import {type DiskId, readDiskIdentity} from '../log/disk_identity.js';
import {EntryLog, type EntryPosition} from '../log/entry_log.js';
import {
  listSupersededDisks,
  recordSupersededDisk,
} from '../log/superseded_disks.js';
import {hasLedgerMarker, writeLedgerMarker} from '../log/ledger_marker.js';
import type {LogFolder} from '../log/log_folder.js';
import {
  decodeArchiveEntry,
  encodeArchiveEntry,
  type ProgramEntries,
} from '../records/turn_codec.js';
import type {PartialChain, TurnRecord} from '../records/turn_record.js';
import {type IndexedTurn, TurnIndex} from './turn_index.js';

/**
 * How long a program's ledger is kept after its last change, in memory and on
 * the disk. It is twice the longest retention of a turn, since a program can
 * resume while one of its turns is retained.
 */
const ledgerRetentionMs = 120_000;
/**
 * How long a quarantine is kept on the disk after it was stored. Entries that
 * are needed for longer must be stored again within this time.
 */
export const quarantineRetentionMs = ledgerRetentionMs;
const sweepIntervalMs = 5000;
/** File that marks the disk of an archive whose retirement is complete. */
const retiredFileName = 'retired';

/** Limit of the ledger entries in one part; bounds the size of a message. */
const maxPartEntries = 4000;
/** Limit of the bytes of turns in one part of a chain, unless it is one turn. */
export const maxChainPartBytes = 512 * 1024;

/** A part of the ledgers of an archive. */
export interface LedgerPart {
  readonly ledgers: readonly ProgramEntries[];
  /** Whether other programs follow. */
  readonly hasMore: boolean;
}

/** Dependencies and callbacks of an archive. */
export interface ArchiveOptions {
  readonly folder: LogFolder;
  readonly clock: Clock;
  readonly random: Random;
  /** Called after a turn is durable on this disk. */
  readonly onStored?: (turn: IndexedTurn) => void;
  /** Called for each quarantine on the disk, the oldest one first. */
  readonly onQuarantineRecovered?: (quarantine: QuarantineEntry) => void;
  /** Called when an expired log segment could not be removed. */
  readonly onSweepFailed?: (error: unknown) => void;
}

/** Persists turns and ledger entries to a log, and indexes them in memory. */
export class Archive {
  private readonly pendingStores = new Map<TurnId, Promise<void>>();
  private readonly unwritten = UnwrittenEntries.create();
  private isClosedForTurns: boolean;

  private constructor(
    private readonly options: ArchiveOptions,
    private readonly log: EntryLog,
    private readonly index: TurnIndex,
    private readonly ledger: BudgetLedger,
    private readonly ledgerSegments: LedgerSegments,
    /** Identity of the disk's contents; changes when the disk is wiped. */
    readonly disk: DiskId,
    private isMarkedComplete: boolean,
    private readonly recordedDisks: Set<DiskId>,
    isRetired: boolean,
  ) {
    this.isClosedForTurns = isRetired;
  }

  /**
   * Opens the archive and recovers its state from the log on the disk.
   * @param options - Log folder, clock and callbacks.
   */
  static async open(options: ArchiveOptions): Promise<Archive> {
    const {folder, clock, random, onQuarantineRecovered} = options;
    const index = TurnIndex.create();
    const ledger = BudgetLedger.create();
    const ledgerSegments = LedgerSegments.create();
    const nowMs = clock.nowMs();
    const isMarked = await hasLedgerMarker(folder);
    const disk = await readDiskIdentity(folder, random);
    const log = await EntryLog.open({
      folder,
      clock,
      onRecovered: ({position, bytes}) => {
        const entry = decodeArchiveEntry(bytes);
        index.retainSegment(position.segment, nowMs + ledgerRetentionMs);
        if (entry?.kind === 'ledger') {
          mergeLedger(ledger, entry.ledger, nowMs);
          // The log does not tell which reservations were contended.
          ledger.markContended(entry.ledger.program);
          ledgerSegments.add(entry.ledger.program, position.segment);
        }
        if (entry?.kind === 'quarantine') {
          onQuarantineRecovered?.(entry.quarantine);
        }
        if (entry?.kind !== 'turn') return;
        index.add(entry.turn, position, nowMs);
        settleTurn(ledger, entry.turn, nowMs);
        ledgerSegments.add(entry.turn.program, position.segment);
      },
    });
    const isRetired = (await folder.listFiles()).includes(retiredFileName);
    return new Archive(
      options,
      log,
      index,
      ledger,
      ledgerSegments,
      disk,
      isMarked,
      new Set(await listSupersededDisks(folder)),
      isRetired,
    );
  }

  /** Number of turns in the index. */
  get turnCount(): number {
    return this.index.size;
  }

  /** Number of programs that the ledger has entries of. */
  get programCount(): number {
    return this.ledger.size;
  }

  /**
   * Whether the disk is marked as one whose ledgers include all that the archive
   * has granted. A disk that has been lost and replaced is not.
   */
  get hasCompleteLedgers(): boolean {
    return this.isMarkedComplete;
  }

  /** Marks the ledgers as complete; resolves once that is durable. */
  async markLedgersComplete(): Promise<void> {
    if (this.isMarkedComplete) return;
    await writeLedgerMarker(this.options.folder);
    this.isMarkedComplete = true;
  }

  /** Disks of archives whose votes do not count, as recorded on this disk. */
  get supersededDisks(): ReadonlySet<DiskId> {
    return this.recordedDisks;
  }

  /**
   * Records superseded disks, so that the archive leaves them out also after a
   * restart without the list of archives; resolves once that is durable.
   * @param disks - Disks, recorded or not.
   */
  async recordSupersededDisks(disks: Iterable<DiskId>): Promise<void> {
    for (const disk of disks) {
      if (this.recordedDisks.has(disk)) continue;
      await recordSupersededDisk(this.options.folder, disk);
      this.recordedDisks.add(disk);
    }
  }

  /** Gets every indexed turn, in the order in which they were stored. */
  getTurns(): IterableIterator<IndexedTurn> {
    return this.index.getAll();
  }

  /**
   * Checks whether a turn is durable on this disk, not expired, and not known to
   * be damaged.
   * @param id - Id of the turn.
   */
  hasTurn(id: TurnId): boolean {
    return this.index.get(id) !== undefined && !this.index.isDamaged(id);
  }

  /**
   * Whether a turn was stored on this disk, but its entry could not be read when
   * last tried.
   * @param id - Id of the turn.
   */
  isDamaged(id: TurnId): boolean {
    return this.index.isDamaged(id);
  }

  /** Gets the turns whose entries could not be read when last tried. */
  getDamagedTurns(): IndexedTurn[] {
    return this.index.getDamaged();
  }

  /**
   * Gets the turns that are not stored here, but continued by one that is, each
   * with the time until which it is needed.
   */
  getMissingAncestors(): ReadonlyMap<TurnId, number> {
    return this.index.getMissingAncestors();
  }

  /**
   * Whether a stored turn expired too long ago for a new turn to continue it.
   * @param id - Id of the turn.
   */
  hasExpired(id: TurnId): boolean {
    return this.index.hasExpired(id, this.nowMs());
  }

  /**
   * Gets how much longer a turn is retained; 0 if it is not stored here.
   * @param id - Id of the turn.
   */
  getRemainingMs(id: TurnId): number {
    const expiresAtMs = this.index.get(id)?.expiresAtMs ?? 0;
    return Math.max(0, expiresAtMs - this.nowMs());
  }

  /**
   * Retains a stored turn and its ancestors longer, since a turn continues it that
   * a peer has, or that is running.
   * @param id - Id of the turn.
   * @param retainedMs - Least time from now.
   */
  retainTurn(id: TurnId, retainedMs: number): void {
    this.index.retainTurn(id, this.nowMs() + retainedMs);
  }

  /**
   * Stores turns; resolves once they are durable. Skips turns that are stored
   * already, unless their entries are damaged.
   * @param records - Finished turns.
   */
  async storeTurns(records: readonly TurnRecord[]): Promise<void> {
    await Promise.all(records.map((record) => this.storeTurn(record)));
  }

  /**
   * Stores quarantines for `quarantineRetentionMs`; resolves once they are
   * durable.
   * @param quarantines - Entries that have changed.
   */
  async storeQuarantines(
    quarantines: readonly QuarantineEntry[],
  ): Promise<void> {
    await Promise.all(
      quarantines.map(async (quarantine) => {
        const entry = encodeArchiveEntry({kind: 'quarantine', quarantine});
        const {segment} = await this.log.append(entry);
        const expiresAtMs = this.nowMs() + quarantineRetentionMs;
        this.index.retainSegment(segment, expiresAtMs);
      }),
    );
  }

  /** Whether it stores no further turns, since its VM is about to be removed. */
  get isSealed(): boolean {
    return this.isClosedForTurns;
  }

  /** Stores no further turns; resolves once pending ones are stored or failed. */
  async seal(): Promise<void> {
    this.isClosedForTurns = true;
    await Promise.allSettled(this.pendingStores.values());
  }

  /**
   * Records on the disk that the archive is retired, so that it stores no turns
   * after a restart either; resolves once that is durable.
   */
  async recordRetirement(): Promise<void> {
    const {folder} = this.options;
    if ((await folder.listFiles()).includes(retiredFileName)) return;
    const file = await folder.createFile(retiredFileName);
    await file.close();
  }

  /** Stores turns again. */
  unseal(): void {
    this.isClosedForTurns = false;
  }

  /**
   * Reserves tokens for an attempt; resolves once the reservation is durable.
   * @param reservation - Attempt, its tokens and the program's budget.
   */
  async reserve(reservation: Reservation): Promise<ReservationResult> {
    const result = this.ledger.reserve(reservation, this.nowMs());
    if (!result.isGranted) return result;
    const {program, attempt, tokens, lapseMs} = reservation;
    const entry = result.isNew
      ? {attempt, tokens, isSettled: false, lapseMs}
      : this.unwritten.get(program, attempt);
    if (entry === undefined) return result;
    await this.appendLedger({program, entries: [entry]});
    return result;
  }

  /**
   * Merges ledger entries of another archive; resolves once they are durable.
   * @param ledgers - Entries by program.
   */
  async mergeLedgers(ledgers: readonly ProgramEntries[]): Promise<void> {
    const unchecked = ledgers.filter((ledger) => this.hasUnknownEntry(ledger));
    // Entries are merged into memory at once; the promise waits for the disk.
    const merged = this.settle(ledgers);
    for (const {program} of unchecked) this.ledger.markContended(program);
    await merged;
  }

  /**
   * Merges the tokens that attempts used; resolves once they are durable.
   * @param ledgers - Settled entries by program.
   */
  async settle(ledgers: readonly ProgramEntries[]): Promise<void> {
    const nowMs = this.nowMs();
    const changed = ledgers
      .map((ledger) => ({
        program: ledger.program,
        entries: this.mergeEntries(ledger, nowMs),
      }))
      .filter(({entries}) => entries.length > 0);
    await Promise.all(changed.map((ledger) => this.appendLedger(ledger)));
  }

  /**
   * When the first reservation lapses that did not before the last
   * `recordReservationsRead`, and does not before the next one.
   */
  get nextLapseMs(): number | undefined {
    return this.ledger.getNextLapseMs();
  }

  /**
   * Records that the reservations in the object API have been merged.
   * @param startMs - When they were read, on the archive's clock.
   */
  recordReservationsRead(startMs: number): void {
    this.ledger.recordRead(startMs);
  }

  /** Gets the ledger entries of every program. */
  getLedgers(): ProgramEntries[] {
    return this.ledger.getPrograms().map((program) => this.getLedger(program));
  }

  /**
   * Gets a part of the ledgers, in order of the programs' ids.
   * @param program - Last program of the part before; empty for the first part.
   */
  getLedgersAfter(program: ProgramId): LedgerPart {
    const following = this.ledger
      .getPrograms()
      .filter((id) => id > program)
      .sort();
    const ledgers: ProgramEntries[] = [];
    let entryCount = 0;
    for (const id of following) {
      const ledger = this.getLedger(id);
      entryCount += ledger.entries.length;
      if (ledgers.length > 0 && entryCount > maxPartEntries) break;
      ledgers.push(ledger);
    }
    return {ledgers, hasMore: ledgers.length < following.length};
  }

  /**
   * Gets the ledger entries of one program; none for an unknown program.
   * @param program - Id of the program.
   */
  getLedger(program: ProgramEntries['program']): ProgramEntries {
    const entries = this.ledger.getEntries(program, this.nowMs());
    return {program, entries};
  }

  /**
   * Reads a turn and its ancestors, up to the first one that is not stored
   * here, whose entry is damaged, or which would make the part too large.
   * @param id - Newest turn of the chain.
   */
  async readChain(id: TurnId): Promise<PartialChain> {
    const turns: TurnRecord[] = [];
    let next: TurnId | undefined = id;
    let bytes = 0;
    while (next !== undefined) {
      const indexed = this.index.get(next);
      if (indexed === undefined) break;
      bytes += indexed.position.length;
      if (turns.length > 0 && bytes > maxChainPartBytes) break;
      const turn = await this.tryReadTurn(indexed);
      if (turn === undefined) break;
      turns.push(turn);
      next = indexed.previous;
    }
    return {turns: turns.toReversed(), missing: next};
  }

  /**
   * Reads a turn from the log; `undefined` if its entry cannot be read, which is
   * recorded: the turn then counts as damaged until it is read or stored again.
   * @param indexed - Index entry of the turn.
   */
  async tryReadTurn(indexed: IndexedTurn): Promise<TurnRecord | undefined> {
    const turn = await this.readEntry(indexed).catch(() => undefined);
    this.index.setDamaged(indexed, turn === undefined);
    return turn;
  }

  /** Checks that the disk accepts writes, by syncing an empty entry. */
  async checkDisk(): Promise<void> {
    await this.appendLedger({program: toId<ProgramId>('none'), entries: []});
  }

  /**
   * Removes expired turns, ledgers and log segments every 5 s.
   * @param signal - Stops the sweep when aborted.
   */
  async sweep(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.options.clock.sleep(sweepIntervalMs, signal);
      await this.removeExpired();
    }
  }

  /** Closes the log's current segment. */
  close(): void {
    this.log.close();
  }

  private async removeExpired(): Promise<void> {
    const nowMs = this.nowMs();
    this.ledger.removeIdle(nowMs - ledgerRetentionMs);
    const isKept = (program: ProgramId) => this.ledger.has(program);
    this.unwritten.removePrograms(isKept);
    this.ledgerSegments.removePrograms(isKept);
    const current = this.log.currentSegment;
    for (const segment of this.index.removeExpired(nowMs)) {
      if (segment === current) continue;
      try {
        await this.rewriteLedgers(segment);
        await this.log.removeSegment(segment);
        this.index.forgetSegment(segment);
      } catch (error) {
        this.options.onSweepFailed?.(error);
      }
    }
  }

  /** Writes the ledgers again that have entries in an expired segment. */
  private async rewriteLedgers(segment: number): Promise<void> {
    for (const program of this.ledgerSegments.findPrograms(segment)) {
      const former = this.ledgerSegments.take(program);
      const ledger = this.getLedger(program);
      try {
        const entry = encodeArchiveEntry({kind: 'ledger', ledger});
        const position = await this.log.append(entry);
        this.retainSegment(position);
        this.ledgerSegments.add(program, position.segment);
      } catch (error) {
        for (const unreplaced of former) {
          this.ledgerSegments.add(program, unreplaced);
        }
        throw error;
      }
    }
  }

  private async readEntry({
    position,
  }: IndexedTurn): Promise<TurnRecord | undefined> {
    const bytes = await this.log.read(position);
    const entry = bytes === undefined ? undefined : decodeArchiveEntry(bytes);
    return entry?.kind === 'turn' ? entry.turn : undefined;
  }

  private storeTurn(record: TurnRecord): Promise<void> {
    const {id} = record;
    if (this.hasTurn(id)) return Promise.resolve();
    const pending = this.pendingStores.get(id);
    if (pending !== undefined) return pending;
    const stored = this.appendTurn(record).finally(() =>
      this.pendingStores.delete(id),
    );
    this.pendingStores.set(id, stored);
    return stored;
  }

  private async appendTurn(record: TurnRecord): Promise<void> {
    const entry = encodeArchiveEntry({kind: 'turn', turn: record});
    const position = await this.log.append(entry);
    const nowMs = this.nowMs();
    this.retainSegment(position);
    settleTurn(this.ledger, record, nowMs);
    this.ledgerSegments.add(record.program, position.segment);
    const indexed = this.index.add(record, position, nowMs);
    this.options.onStored?.(indexed);
  }

  /** Whether entries include one that this archive has not counted. */
  private hasUnknownEntry({program, entries}: ProgramEntries): boolean {
    const known = this.ledger.getEntries(program, this.nowMs());
    const attempts = new Set(known.map(({attempt}) => attempt));
    return entries.some(({attempt}) => !attempts.has(attempt));
  }

  /** Merges entries; gets those that are not durable yet. */
  private mergeEntries(
    {program, entries}: ProgramEntries,
    nowMs: number,
  ): LedgerEntry[] {
    return entries.flatMap((entry) => {
      if (this.ledger.mergeEntry(program, entry, nowMs)) return [entry];
      return this.unwritten.get(program, entry.attempt) ?? [];
    });
  }

  private async appendLedger(ledger: ProgramEntries): Promise<void> {
    const {program, entries} = ledger;
    const entry = encodeArchiveEntry({kind: 'ledger', ledger});
    this.unwritten.add(program, entries);
    const position = await this.log.append(entry);
    this.retainSegment(position);
    this.ledgerSegments.add(program, position.segment);
    this.unwritten.remove(program, entries);
  }

  private retainSegment({segment}: EntryPosition): void {
    this.index.retainSegment(segment, this.nowMs() + ledgerRetentionMs);
  }

  private nowMs(): number {
    return this.options.clock.nowMs();
  }
}

/** Merges entries into the ledger; gets those that changed it. */
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
