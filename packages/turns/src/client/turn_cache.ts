/** Caches recently used turns, so that most chains need no archive request. */
import type {TurnId} from '@marigoldpost/sites';
import type {TurnRecord} from '../records/turn_record.js';

/** A cached turn. */
export interface CachedTurn {
  readonly record: TurnRecord;
  /** Until when archives surely store the turn and those before it. */
  readonly retainedUntilMs: number;
  /** From when on archives may have removed the turn, as far as is known here. */
  readonly expiresAtMs: number;
}

/** LRU cache, bounded by the bytes of inputs and outputs. */
export class TurnCache {
  private readonly turns = new Map<TurnId, CachedTurn>();
  private bytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Creates an empty cache.
   * @param maxBytes - Limit of the total bytes of inputs and outputs.
   */
  static create(maxBytes: number): TurnCache {
    return new TurnCache(maxBytes);
  }

  /**
   * Gets a turn and marks it as recently used; `undefined` when not cached.
   * @param id - Id of the turn.
   */
  get(id: TurnId): CachedTurn | undefined {
    const cached = this.turns.get(id);
    if (cached === undefined) return undefined;
    this.turns.delete(id);
    this.turns.set(id, cached);
    return cached;
  }

  /**
   * Caches a turn, or extends the retention of one that is cached; evicts the
   * least recently used ones above the limit.
   * @param record - Finished turn, which is retained when it is first cached.
   * @param nowMs - Time on the clock of the entry VM.
   * @param retainedUntilMs - Until when archives surely store it and those before.
   */
  put(record: TurnRecord, nowMs: number, retainedUntilMs: number): void {
    const known = this.turns.get(record.id);
    if (known !== undefined) {
      if (known.retainedUntilMs >= retainedUntilMs) return;
      const expiresAtMs = Math.max(known.expiresAtMs, retainedUntilMs);
      this.turns.set(record.id, {...known, retainedUntilMs, expiresAtMs});
      return;
    }
    const expiresAtMs = Math.max(nowMs + record.retentionMs, retainedUntilMs);
    this.turns.set(record.id, {record, retainedUntilMs, expiresAtMs});
    this.bytes += getSize(record);
    for (const [id, oldest] of this.turns) {
      if (this.bytes <= this.maxBytes) return;
      this.turns.delete(id);
      this.bytes -= getSize(oldest.record);
    }
  }
}

function getSize({input, output}: TurnRecord): number {
  return input.byteLength + output.byteLength;
}
