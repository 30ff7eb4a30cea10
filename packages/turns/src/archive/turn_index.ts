/** Positions of an archive's turns in its log, and their expiry. */
import type {ProgramId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {DiskId} from '../log/disk_identity.js';
import type {EntryPosition} from '../log/entry_log.js';
import type {TurnRecord} from '../records/turn_record.js';

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
   * Adds a turn and extends the expiry of its ancestors to its own.
   * @param record - Turn that was stored.
   * @param position - Position of its entry in the log.
   * @param nowMs - Current time of the archive's clock.
   */
  add(record: TurnRecord, position: EntryPosition, nowMs: number): IndexedTurn {
    const expiresAtMs = nowMs + record.retentionMs;
    const {id, previous, program, disks} = record;
    const turn: IndexedTurn = {
      id,
      previous,
      program,
      position,
      disks,
      storedAtMs: nowMs,
      expiresAtMs,
    };
    this.turns.set(id, turn);
    this.retainSegment(position.segment, expiresAtMs);
    this.extendAncestors(turn);
    return turn;
  }

  /**
   * Retains a turn at least until a time, if it is stored here.
   * @param id - Id of the turn.
   * @param untilMs - Expiry on the archive's clock.
   */
  retainTurn(id: TurnId, untilMs: number): void {
    const turn = this.turns.get(id);
    if (turn === undefined || turn.expiresAtMs >= untilMs) return;
    turn.expiresAtMs = untilMs;
    this.retainSegment(turn.position.segment, untilMs);
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
   * Removes expired turns from the index; gets the numbers of the segments
   * that have expired.
   * @param nowMs - Current time of the archive's clock.
   */
  removeExpired(nowMs: number): number[] {
    for (const [id, turn] of this.turns) {
      if (turn.expiresAtMs < nowMs) this.turns.delete(id);
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

  private extendAncestors(turn: IndexedTurn): void {
    let {previous} = turn;
    while (previous !== undefined) {
      const ancestor = this.turns.get(previous);
      if (ancestor === undefined) return;
      if (ancestor.expiresAtMs >= turn.expiresAtMs) return;
      this.retainTurn(ancestor.id, turn.expiresAtMs);
      previous = ancestor.previous;
    }
  }
}
