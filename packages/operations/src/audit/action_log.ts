/** Audit records of operators' actions other than configuration changes. */
import {type Clock, isErrorOfKind, type Random} from '@marigoldpost/common';
import type {ObjectStore} from '@marigoldpost/platform';
import * as z from 'zod';

/** Prefix of the keys of the records. */
const actionPrefix = 'operator-actions/';
const timeDigits = 15;
const idLength = 12;

const recordSchema = z.object({
  operator: z.string(),
  action: z.enum(['lift_quarantine', 'end_program']),
  subject: z.string(),
  atMs: z.number(),
});

/** One action of an operator; `subject` is a fingerprint or a program. */
export type ActionRecord = z.infer<typeof recordSchema>;

/** Store, clock and random source of a log. */
export interface ActionLogOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
}

/** Log of actions in the platform's store. */
export class ActionLog {
  private constructor(private readonly options: ActionLogOptions) {}

  /**
   * Creates a log; several daemons may write to the same one.
   * @param options - Store, clock and random source.
   */
  static create(options: ActionLogOptions): ActionLog {
    return new ActionLog(options);
  }

  /**
   * Records an action before it is taken. Throws if the record may not have
   * been stored; the action must not be taken then.
   * @param record - Operator, action and subject.
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
      const stored = await store.getObject(key);
      if (stored === undefined) throw error;
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
