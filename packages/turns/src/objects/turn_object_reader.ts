/** Finds turns that objects hold, since too few disks store them. */
import type {Clock} from '@marigoldpost/common';
import type {ObjectStore} from '@marigoldpost/platform';
import type {TurnId} from '@marigoldpost/sites';
import {SharedReading} from '../directory/shared_reading.js';
import type {TurnRecord} from '../records/turn_record.js';
import {
  decodeTurnBatchPart,
  joinTurnBatch,
  type TurnBatchPart,
  turnObjectPrefix,
} from './turn_object.js';

/** Least pause between two readings; bounds the calls to the object API. */
const minIntervalMs = 200;

/** Object API and clock of a reader. */
export interface TurnObjectReaderOptions {
  readonly store: Pick<ObjectStore, 'readSnapshot'>;
  readonly clock: Clock;
}

/** Reads all objects that hold turns; calls that come together share a reading. */
export class TurnObjectReader {
  private readonly reading: SharedReading<ReadonlyMap<TurnId, TurnRecord>>;

  private constructor({store, clock}: TurnObjectReaderOptions) {
    this.reading = SharedReading.create({
      clock,
      getIntervalMs: () => minIntervalMs,
      read: () => readTurns(store),
    });
  }

  /**
   * Creates a reader.
   * @param options - Object API and clock.
   */
  static create(options: TurnObjectReaderOptions): TurnObjectReader {
    return new TurnObjectReader(options);
  }

  /**
   * Gets a turn that an object holds now; `undefined` if none does. Throws
   * `store_unavailable` if the object API does not reply.
   * @param turn - Id of the turn.
   */
  async findTurn(turn: TurnId): Promise<TurnRecord | undefined> {
    const turns = await this.reading.read();
    return turns.get(turn);
  }
}

async function readTurns(
  store: TurnObjectReaderOptions['store'],
): Promise<ReadonlyMap<TurnId, TurnRecord>> {
  const {objects} = await store.readSnapshot(turnObjectPrefix);
  const batches = new Map<string, TurnBatchPart[]>();
  for (const object of objects) {
    const part = decodeTurnBatchPart(object);
    if (part === undefined) continue;
    batches.set(part.batch, [...(batches.get(part.batch) ?? []), part]);
  }
  const records = [...batches.values()].flatMap(
    (parts) => joinTurnBatch(parts) ?? [],
  );
  return new Map(records.map((record) => [record.id, record]));
}
