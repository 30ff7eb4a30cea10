/** Caches recently used turns, so that most chains need no archive request. */
import type {TurnId} from '@marigoldpost/sites';
import type {TurnRecord} from '../records/turn_record.js';

/** LRU cache, bounded by the bytes of inputs and outputs. */
export class TurnCache {
  private readonly turns = new Map<TurnId, TurnRecord>();
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
  get(id: TurnId): TurnRecord | undefined {
    const record = this.turns.get(id);
    if (record === undefined) return undefined;
    this.turns.delete(id);
    this.turns.set(id, record);
    return record;
  }

  /**
   * Caches a turn; evicts the least recently used ones above the limit.
   * @param record - Finished turn.
   */
  put(record: TurnRecord): void {
    if (this.turns.has(record.id)) return;
    this.turns.set(record.id, record);
    this.bytes += getSize(record);
    for (const [id, oldest] of this.turns) {
      if (this.bytes <= this.maxBytes) return;
      this.turns.delete(id);
      this.bytes -= getSize(oldest);
    }
  }
}

function getSize({input, output}: TurnRecord): number {
  return input.byteLength + output.byteLength;
}
