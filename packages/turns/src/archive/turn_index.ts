/** Where an archive's turns stand on its disk, and how long they are kept. */
import type {ProgramId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {DiskId} from '../log/disk_identity.js';
import type {EntryPosition} from '../log/entry_log.js';
import type {TurnRecord} from '../records/turn_record.js';

/** What the index keeps of one turn. */
export interface IndexedTurn {
  readonly id: TurnId;
  readonly previous: TurnId | undefined;
  readonly program: ProgramId;
  readonly position: EntryPosition;
  readonly disks: readonly DiskId[];
  readonly storedAtMs: number;
  expiresAtMs: number;
}

/** Index of the turns on one disk. */
export class TurnIndex {
  private readonly turns = new Map<TurnId, IndexedTurn>();
  /** Time until which each file of the log is needed. */
  private readonly segmentExpiry = new Map<number, number>();

  private constructor() {}

  /** Creates an empty index. */
  static create(): TurnIndex {
    return new TurnIndex();
  }

  /** Number of turns. */
  get size(): number {
    return this.turns.size;
  }

  /**
   * Gets a turn; nothing when the disk does not hold it.
   * @param id - The turn.
   */
  get(id: TurnId): IndexedTurn | undefined {
    return this.turns.get(id);
  }

  /** Gets every turn, oldest first. */
  getAll(): IterableIterator<IndexedTurn> {
    return this.turns.values();
  }

  /**
   * Adds a turn and keeps the turns before it as long as the turn itself.
   * @param record - The turn.
   * @param position - Where it stands.
   * @param nowMs - Time of the archive's clock.
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
    this.keepSegment(position.segment, expiresAtMs);
    this.extendAncestors(turn);
    return turn;
  }

  /**
   * Keeps a file of the log until a time.
   * @param segment - Number of the file.
   * @param untilMs - Time of the archive's clock.
   */
  keepSegment(segment: number, untilMs: number): void {
    const known = this.segmentExpiry.get(segment) ?? 0;
    this.segmentExpiry.set(segment, Math.max(known, untilMs));
  }

  /**
   * Forgets expired turns; gets the files that nothing needs any more.
   * @param nowMs - Time of the archive's clock.
   */
  removeExpired(nowMs: number): number[] {
    for (const [id, turn] of this.turns) {
      if (turn.expiresAtMs < nowMs) this.turns.delete(id);
    }
    const expired: number[] = [];
    for (const [segment, expiryMs] of this.segmentExpiry) {
      if (expiryMs >= nowMs) continue;
      this.segmentExpiry.delete(segment);
      expired.push(segment);
    }
    return expired;
  }

  private extendAncestors(turn: IndexedTurn): void {
    let {previous} = turn;
    while (previous !== undefined) {
      const ancestor = this.turns.get(previous);
      if (ancestor === undefined) return;
      if (ancestor.expiresAtMs >= turn.expiresAtMs) return;
      ancestor.expiresAtMs = turn.expiresAtMs;
      this.keepSegment(ancestor.position.segment, turn.expiresAtMs);
      previous = ancestor.previous;
    }
  }
}
