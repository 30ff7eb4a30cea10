/**
 * Records reservations in the object API, where all entry VMs see them.
 *
 * Sets of archives that grant without each other, such as an isolated home and
 * a majority elsewhere, need not meet. Each reservation of such a set is written
 * before the others are read, so that of two attempts at least one sees the
 * other.
 */
import {
  type Clock,
  type DaemonId,
  isErrorOfKind,
  MarigoldpostError,
  type ProgramId,
  type Timer,
} from '@marigoldpost/common';
import type {ObjectStore} from '@marigoldpost/platform';
import type {TurnId} from '@marigoldpost/sites';
import {
  type ArchiveMember,
  archivePrefix,
  decodeMember,
} from '../directory/archive_directory.js';
import {SharedReading} from '../directory/shared_reading.js';
import type {LedgerEntry, Reservation} from '../ledger/budget_ledger.js';
import type {ProgramEntries} from '../records/turn_codec.js';
import {
  decodeReservationsOrThrow,
  encodeReservations,
  reservationPrefix,
} from './reservation_object.js';

/** How long a reservation is kept, as a program's ledger on a disk. */
const retentionMs = 120_000;
/** Pause between two removals of expired reservations. */
const removalIntervalMs = 10_000;
/**
 * Limit of the reservations of one process: about 670 of the 1,024 KB of an
 * object.
 */
const maxEntries = 5000;
/** Limit up to which settlements of other attempts are added to these. */
const maxSettlements = 2500;
/** Attempts at one write whose outcome is unknown or whose version is behind. */
const maxWriteAttempts = 3;

/** Object API, pacing and callbacks. */
export interface ReservationObjectsOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly daemon: DaemonId;
  /** Distinguishes the object of this process from those of earlier ones. */
  readonly incarnation: string;
  /** Gets the least pause between the starts of two writes. */
  readonly getIntervalMs: () => number;
  /** Whether all archives are reachable, so that they learn of reservations. */
  readonly areArchivesReachable: () => boolean;
  /** Whether the list of archives has those that the object API has now. */
  readonly isListCurrent: (members: readonly ArchiveMember[]) => boolean;
  readonly onWritten?: (reservations: number, elapsedMs: number) => void;
}

/** What the object API has after a write. */
interface Reading {
  readonly ledgers: readonly ProgramEntries[];
  readonly isListCurrent: boolean;
}

/** The part of a reservation that is recorded. */
type RecordedReservation = Pick<
  Reservation,
  'program' | 'attempt' | 'tokens' | 'lapseMs'
>;

interface RecordedEntry {
  readonly program: ProgramId;
  readonly entry: LedgerEntry;
  readonly expiresAtMs: number;
}

/** Reservations of one entry VM, and those of the others. */
export class ReservationObjects {
  private readonly entries = new Map<TurnId, RecordedEntry>();
  /** Writes of the own reservations; one at a time. */
  private readonly writes: SharedReading<void>;
  private readonly exchange: SharedReading<Reading>;
  private readonly key: string;
  /** Version of the own object; `undefined` while there is none. */
  private version: number | undefined;
  private timer: Timer | undefined;
  private isStopped = false;

  private constructor(private readonly options: ReservationObjectsOptions) {
    const {clock, getIntervalMs, daemon, incarnation} = options;
    this.key = `${reservationPrefix}${daemon}.${incarnation}`;
    this.writes = SharedReading.create({
      clock,
      getIntervalMs,
      read: () => this.write(this.encode()),
    });
    this.exchange = SharedReading.create({
      clock,
      getIntervalMs,
      read: () => this.writeAndRead(),
    });
  }

  /**
   * Creates the reservations of a process that has recorded none.
   * @param options - Object API and pacing.
   */
  static create(options: ReservationObjectsOptions): ReservationObjects {
    return new ReservationObjects(options);
  }

  /**
   * Records a reservation; gets what all entry VMs have recorded of its program
   * once it is durable, one list for each. `undefined` if other archives are
   * registered by then than this entry VM knows of, which may grant without those
   * that it knows. Throws an error if the object API does not acknowledge the
   * reservation, or if there are too many.
   * @param reservation - Attempt and its tokens.
   */
  async record({
    program,
    attempt,
    tokens,
    lapseMs: openMs,
  }: RecordedReservation): Promise<LedgerEntry[][] | undefined> {
    if (this.entries.size >= maxEntries) throw createFullError();
    const entry = {attempt, tokens, isSettled: false, openMs};
    this.put(program, {...entry, isReported: true});
    const {ledgers, isListCurrent} = await this.exchange.read();
    if (!isListCurrent) return undefined;
    const others = ledgers
      .filter((ledger) => ledger.program === program)
      .map(({entries}) => [...entries]);
    return [...others, this.getEntries(program)];
  }

  /**
   * Records that a reservation is confirmed; resolves once that is durable. Throws
   * an error if the object API does not acknowledge it, or if there are too many.
   * @param reservation - Attempt and its tokens.
   */
  async confirm({
    program,
    attempt,
    tokens,
    lapseMs: openMs,
  }: RecordedReservation): Promise<void> {
    const known = this.entries.get(attempt);
    if (known?.entry.isSettled === true) return;
    if (known === undefined && this.entries.size >= maxEntries) {
      throw createFullError();
    }
    this.put(program, {attempt, tokens, isSettled: false, openMs});
    // What others have recorded is of no interest, and costs two more calls.
    await this.writes.read();
  }

  /**
   * Records the tokens that an attempt used, if its reservation is recorded. The
   * next reservation writes them.
   * @param program - Program of the attempt.
   * @param attempt - Attempt whose reservation ends.
   * @param tokens - Tokens that it used.
   */
  settle(program: ProgramId, attempt: TurnId, tokens: number): void {
    if (!this.entries.has(attempt)) return;
    this.put(program, {attempt, tokens, isSettled: true});
  }

  /**
   * Whether the reservation of an attempt is recorded.
   * @param attempt - Attempt of this entry VM.
   */
  has(attempt: TurnId): boolean {
    return this.entries.has(attempt);
  }

  /**
   * Records settlements, from which archives take them; resolves once they are
   * durable. Throws an error if the object API does not acknowledge them, or if
   * there are too many.
   * @param ledgers - Settled entries by program.
   * @param isLast - Whether the process is about to end, so that the write must not
   *   wait for an earlier one that has no reply yet.
   */
  async recordSettlements(
    ledgers: readonly ProgramEntries[],
    isLast = false,
  ): Promise<void> {
    let isFull = false;
    for (const {program, entries} of ledgers) {
      for (const entry of entries) {
        const hasRoom = this.entries.size < maxSettlements;
        if (hasRoom || this.has(entry.attempt)) this.put(program, entry);
        else isFull = true;
      }
    }
    await (isLast ? this.write(this.encode()) : this.writes.read());
    if (isFull) throw createFullError();
  }

  /** Stops the removal of expired reservations. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  private put(program: ProgramId, entry: LedgerEntry): void {
    const expiresAtMs = this.options.clock.nowMs() + retentionMs;
    this.entries.set(entry.attempt, {program, entry, expiresAtMs});
    this.scheduleRemoval();
  }

  private getEntries(program: ProgramId): LedgerEntry[] {
    return [...this.entries.values()]
      .filter((recorded) => recorded.program === program)
      .map(({entry}) => entry);
  }

  /** Writes the own reservations, then reads those of all entry VMs. */
  private async writeAndRead(): Promise<Reading> {
    const {clock, store, onWritten} = this.options;
    const startMs = clock.nowMs();
    const size = this.entries.size;
    await this.writes.read();
    const [reservations, archives] = await Promise.all([
      store.readSnapshot(reservationPrefix),
      // Without them, settlements are recorded nevertheless.
      store.readSnapshot(archivePrefix).catch(() => undefined),
    ]);
    onWritten?.(size, clock.nowMs() - startMs);
    // No entry VM uses an archive whose registration is malformed.
    const members = archives?.objects.flatMap(
      (object) => decodeMember(object) ?? [],
    );
    const isListCurrent =
      members !== undefined && this.options.isListCurrent(members);
    const ledgers = reservations.objects
      .filter(({key}) => key !== this.key)
      .flatMap(decodeReservationsOrThrow);
    return {ledgers, isListCurrent};
  }

  private encode(): string {
    const programs = new Set(
      [...this.entries.values()].map(({program}) => program),
    );
    const ledgers = [...programs].map((program) => ({
      program,
      entries: this.getEntries(program),
    }));
    return encodeReservations(ledgers);
  }

  /** Only this process writes the object, so conflicts are its own attempts. */
  private async write(value: string): Promise<void> {
    const {store} = this.options;
    for (let attempt = 1; ; attempt++) {
      try {
        const {version} =
          this.version === undefined
            ? await store.createObject(this.key, value)
            : await store.updateObject(this.key, value, this.version);
        this.version = version;
        return;
      } catch (error) {
        const isResolvable = isErrorOfKind(
          error,
          'object_exists',
          'object_missing',
          'version_conflict',
          'store_ambiguous',
        );
        if (!isResolvable || attempt === maxWriteAttempts) throw error;
        const stored = await store.getObject(this.key);
        this.version = stored?.version;
        if (stored?.value === value) return;
      }
    }
  }

  private scheduleRemoval(): void {
    if (this.isStopped || this.entries.size === 0) return;
    this.timer ??= this.options.clock.setTimer(removalIntervalMs, () => {
      void this.removeExpired().finally(() => {
        this.timer = undefined;
        this.scheduleRemoval();
      });
    });
  }

  /**
   * Removes expired reservations, and the object after the last one. They are
   * kept while an archive is away, which may be isolated and not know of them.
   */
  private async removeExpired(): Promise<void> {
    const {clock, store, areArchivesReachable} = this.options;
    if (!areArchivesReachable()) return;
    const nowMs = clock.nowMs();
    for (const [attempt, {expiresAtMs}] of this.entries) {
      if (expiresAtMs < nowMs) this.entries.delete(attempt);
    }
    if (this.entries.size > 0 || this.version === undefined) return;
    try {
      await store.removeObject(this.key, this.version);
      this.version = undefined;
    } catch {
      // Archives remove an object that no longer changes.
    }
  }
}

function createFullError(): MarigoldpostError {
  const message = 'the object API has as many reservations as it may hold';
  return MarigoldpostError.create('archive_unavailable', message);
}
