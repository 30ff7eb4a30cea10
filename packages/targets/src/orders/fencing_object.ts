/** The platform object that fencing epochs are drawn from. */
import {
  type DataCentreId,
  isErrorOfKind,
  MarigoldpostError,
  type Random,
} from '@marigoldpost/common';
import type {ObjectStore, StoredObject} from '@marigoldpost/platform';
import * as z from 'zod';

/** An epoch that one desk has drawn. */
export interface FencingEpoch {
  readonly number: number;
  /** Tells this draw from any other. */
  readonly nonce: string;
}

/** Options of the object. */
export interface FencingObjectOptions {
  readonly store: ObjectStore;
  readonly random: Random;
  readonly dataCentre: DataCentreId;
}

const maxDraws = 5;
const nonceLength = 16;
const epochSchema = z.object({number: z.number().int(), nonce: z.string()});

/** Draws epochs by conditional update. */
export class FencingObject {
  private readonly key: string;

  private constructor(private readonly options: FencingObjectOptions) {
    this.key = `orders/${options.dataCentre}`;
  }

  /**
   * Creates a client of the object.
   * @param options - Platform, randomness and data centre.
   */
  static create(options: FencingObjectOptions): FencingObject {
    return new FencingObject(options);
  }

  /** Draws an epoch above every earlier one. */
  async drawEpoch(): Promise<FencingEpoch> {
    const nonce = this.options.random.nextToken(nonceLength);
    for (let draw = 0; draw < maxDraws; draw++) {
      const current = await this.options.store.getObject(this.key);
      const number = current === undefined ? 1 : parseEpoch(current).number + 1;
      const epoch = {number, nonce};
      if (await this.write(epoch, current)) return epoch;
    }
    const message = `orderers compete for object "${this.key}"`;
    throw MarigoldpostError.create('version_conflict', message);
  }

  /**
   * Whether no later epoch has been drawn.
   * @param epoch - The epoch.
   */
  async isNewest(epoch: FencingEpoch): Promise<boolean> {
    const current = await this.options.store.getObject(this.key);
    return current !== undefined && isSameEpoch(parseEpoch(current), epoch);
  }

  /** Writes an epoch; false when another draw came first. */
  private async write(
    epoch: FencingEpoch,
    current: StoredObject | undefined,
  ): Promise<boolean> {
    const {store} = this.options;
    const value = JSON.stringify(epoch);
    try {
      if (current === undefined) await store.createObject(this.key, value);
      else await store.updateObject(this.key, value, current.version);
      return true;
    } catch (error) {
      // The answer was lost; the nonce shows whether the write took effect.
      if (isErrorOfKind(error, 'store_ambiguous')) return this.isNewest(epoch);
      if (isErrorOfKind(error, 'version_conflict', 'object_exists')) {
        return false;
      }
      throw error;
    }
  }
}

function parseEpoch(object: StoredObject): FencingEpoch {
  return epochSchema.parse(JSON.parse(object.value));
}

function isSameEpoch(left: FencingEpoch, right: FencingEpoch): boolean {
  return left.number === right.number && left.nonce === right.nonce;
}
