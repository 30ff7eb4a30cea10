/** Audit records of what operators do beside changing the text. */
import {type Clock, isErrorOfKind, type Random} from '@marigoldpost/common';
import type {ObjectStore} from '@marigoldpost/platform';
import * as z from 'zod';

/** Start of the keys of the records. */
const actionPrefix = 'operator-actions/';
const timeDigits = 15;
const idLength = 12;

const recordSchema = z.object({
  operator: z.string(),
  action: z.enum(['lift_quarantine', 'end_program']),
  subject: z.string(),
  atMs: z.number(),
});

/** One action of an operator. */
export type ActionRecord = z.infer<typeof recordSchema>;

/** What the log is made of. */
export interface ActionLogOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
}

/** Trail of actions in the platform's store. */
export class ActionLog {
  private constructor(private readonly options: ActionLogOptions) {}

  /**
   * Creates a log.
   * @param options - Store, clock and random source.
   */
  static create(options: ActionLogOptions): ActionLog {
    return new ActionLog(options);
  }

  /**
   * Records an action that is about to be taken; throws when the record may
   * not have been kept, and then the action must not be taken.
   * @param record - Who does what to what.
   */
  async addAction(record: Omit<ActionRecord, 'atMs'>): Promise<void> {
    const {store, clock, random} = this.options;
    const atMs = clock.wallTimeMs();
    const time = String(Math.floor(atMs)).padStart(timeDigits, '0');
    const key = `${actionPrefix}${time}-${random.nextToken(idLength)}`;
    const value = JSON.stringify({...record, atMs});
    try {
      await store.createObject(key, value);
    } catch (error) {
      if (!isErrorOfKind(error, 'store_ambiguous')) throw error;
      const kept = await store.getObject(key);
      if (kept === undefined) throw error;
    }
  }

  /** Gets every action, newest first. */
  async getActions(): Promise<readonly ActionRecord[]> {
    const objects = await this.options.store.listObjects(actionPrefix);
    return objects
      .map(({value}) => recordSchema.parse(JSON.parse(value)))
      .reverse();
  }
}
