/** Turns that were used lately, so that most chains need no archive. */
import type {TurnId} from '@marigoldpost/sites';
import type {TurnRecord} from '../records/turn_record.js';

/** Least recently used turns go first. */
export class TurnCache {
  private readonly turns = new Map<TurnId, TurnRecord>();
  private bytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Creates an empty cache.
   * @param maxBytes - Most bytes of inputs and outputs.
   */
  static create(maxBytes: number): TurnCache {
    return new TurnCache(maxBytes);
  }

  /**
   * Gets a turn; nothing when it is not kept.
   * @param id - The turn.
   */
  get(id: TurnId): TurnRecord | undefined {
    const record = this.turns.get(id);
    if (record === undefined) return undefined;
    this.turns.delete(id);
    this.turns.set(id, record);
    return record;
  }

  /**
   * Keeps a turn.
   * @param record - The turn.
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
