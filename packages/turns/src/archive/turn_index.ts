/** Positions of an archive's turns in its log, and their expiry. */
import type {ProgramId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {DiskId} from '../log/disk_identity.js';
import type {EntryPosition} from '../log/entry_log.js';
import type {TurnRecord} from '../records/turn_record.js';

/**
 * Time for which an expired turn is kept: an archive that was asked to retain it
 * for a running turn may not reach the others before that turn is stored.
 */
const expiredTurnMs = 10_000;
/**
 * Time after its expiry in which a turn may still be continued. Until the others
 * drop the turn, the rest of `expiredTurnMs` is left to run the new turn, which
 * takes 4 s at most, and to import it from the object API.
 */
const continuableMs = 4000;

/** Index entry of one turn. */
export interface IndexedTurn {
  readonly id: TurnId;
  readonly previous: TurnId | undefined;
  readonly program: ProgramId;
  readonly position: EntryPosition;
  readonly disks: readonly DiskId[];
  readonly storedAtMs: number;
  expiresAtMs: number;
}

/** Maps turn ids to log positions and tracks when log segments expire. */
export class TurnIndex {
  private readonly turns = new Map<TurnId, IndexedTurn>();
  /** Time until which each log segment is needed, by segment number. */
  private readonly segmentExpiryMs = new Map<number, number>();
  /**
   * Turns that are not stored here, but continued by one that is, each with the
   * time until which it is needed.
   */
  private readonly missingAncestors = new Map<TurnId, number>();
  /** Turns whose entries could not be read when last tried. */
  private readonly damaged = new Set<TurnId>();

  private constructor() {}

  /** Creates an empty index. */
  static create(): TurnIndex {
    return new TurnIndex();
  }

  /** Number of indexed turns. */
  get size(): number {
    return this.turns.size;
  }

  /**
   * Gets a turn's entry; `undefined` when the turn is not stored here.
   * @param id - Id of the turn.
   */
  get(id: TurnId): IndexedTurn | undefined {
    return this.turns.get(id);
  }

  /** Gets every turn's entry, in the order in which they were added. */
  getAll(): IterableIterator<IndexedTurn> {
    return this.turns.values();
  }

  /**
   * Whether the entry of a stored turn could not be read when last tried.
   * @param id - Id of the turn.
   */
  isDamaged(id: TurnId): boolean {
    return this.damaged.has(id);
  }

  /** Gets the entries of the turns that could not be read when last tried. */
  getDamaged(): IndexedTurn[] {
    return [...this.damaged].flatMap((id) => this.turns.get(id) ?? []);
  }

  /**
   * Records whether the entry of a turn could be read; an entry that has been
   * replaced or has expired meanwhile has no effect.
   * @param turn - Entry that was read.
   * @param isDamaged - Whether the log did not return its content.
   */
  setDamaged(turn: IndexedTurn, isDamaged: boolean): void {
    if (this.turns.get(turn.id) !== turn) return;
    if (isDamaged) this.damaged.add(turn.id);
    else this.damaged.delete(turn.id);
  }

  /**
   * Adds a turn and extends the expiry of its ancestors to its own. An entry of
   * the same turn, which is damaged, is replaced.
   * @param record - Turn that was stored.
   * @param position - Position of its entry in the log.
   * @param nowMs - Current time of the archive's clock.
   */
  add(record: TurnRecord, position: EntryPosition, nowMs: number): IndexedTurn {
    const {id, previous, program, disks} = record;
    const replacedExpiryMs = this.turns.get(id)?.expiresAtMs ?? 0;
    const expiresAtMs = Math.max(
      nowMs + record.retentionMs,
      replacedExpiryMs,
      this.missingAncestors.get(id) ?? 0,
    );
    const turn: IndexedTurn = {
      id,
      previous,
      program,
      position,
      disks,
      storedAtMs: nowMs,
      expiresAtMs,
    };
    this.turns.delete(id);
    this.turns.set(id, turn);
    this.damaged.delete(id);
    this.missingAncestors.delete(id);
    this.retainSegment(position.segment, expiresAtMs + expiredTurnMs);
    this.retainAncestors(turn);
    return turn;
  }

  /**
   * Retains a turn and its ancestors at least until a time, if it is stored
   * here.
   * @param id - Id of the turn.
   * @param untilMs - Expiry on the archive's clock.
   */
  retainTurn(id: TurnId, untilMs: number): void {
    const turn = this.turns.get(id);
    if (turn === undefined || turn.expiresAtMs >= untilMs) return;
    this.setExpiry(turn, untilMs);
    this.retainAncestors(turn);
  }

  /**
   * Whether a turn is stored here, but expired so long ago that a new turn must not
   * continue it: other archives may drop it before they learn of the new one.
   * @param id - Id of the turn.
   * @param nowMs - Current time of the archive's clock.
   */
  hasExpired(id: TurnId, nowMs: number): boolean {
    const turn = this.turns.get(id);
    return turn !== undefined && turn.expiresAtMs + continuableMs < nowMs;
  }

  /**
   * Gets the turns that are not stored here, but continued by one that is, each
   * with the time until which it is needed.
   */
  getMissingAncestors(): ReadonlyMap<TurnId, number> {
    return this.missingAncestors;
  }

  /**
   * Retains a log segment at least until a time.
   * @param segment - Segment number.
   * @param untilMs - Expiry on the archive's clock.
   */
  retainSegment(segment: number, untilMs: number): void {
    const currentMs = this.segmentExpiryMs.get(segment) ?? 0;
    this.segmentExpiryMs.set(segment, Math.max(currentMs, untilMs));
  }

  /**
   * Removes turns from the index that expired 10 s ago; gets the numbers of the
   * segments that have expired.
   * @param nowMs - Current time of the archive's clock.
   */
  removeExpired(nowMs: number): number[] {
    for (const [id, turn] of this.turns) {
      if (turn.expiresAtMs + expiredTurnMs >= nowMs) continue;
      this.turns.delete(id);
      this.damaged.delete(id);
    }
    for (const [id, untilMs] of this.missingAncestors) {
      if (untilMs < nowMs) this.missingAncestors.delete(id);
    }
    return [...this.segmentExpiryMs]
      .filter(([, expiryMs]) => expiryMs < nowMs)
      .map(([segment]) => segment);
  }

  /**
   * Forgets a log segment whose file has been removed.
   * @param segment - Segment number.
   */
  forgetSegment(segment: number): void {
    this.segmentExpiryMs.delete(segment);
  }

  private retainAncestors({previous, expiresAtMs}: IndexedTurn): void {
    let next = previous;
    while (next !== undefined) {
      const ancestor = this.turns.get(next);
      if (ancestor === undefined) {
        const neededMs = this.missingAncestors.get(next) ?? 0;
        this.missingAncestors.set(next, Math.max(neededMs, expiresAtMs));
        return;
      }
      if (ancestor.expiresAtMs >= expiresAtMs) return;
      this.setExpiry(ancestor, expiresAtMs);
      next = ancestor.previous;
    }
  }

  private setExpiry(turn: IndexedTurn, untilMs: number): void {
    turn.expiresAtMs = untilMs;
    this.retainSegment(turn.position.segment, untilMs + expiredTurnMs);
  }
}
