/** Allocation of fencing epochs in an object of the platform's store. */
import {
  type DataCentreId,
  isErrorOfKind,
  MarigoldpostError,
  type Random,
} from '@marigoldpost/common';
import type {ObjectStore, StoredObject} from '@marigoldpost/platform';
import * as z from 'zod';

/** An epoch that one order sender has allocated. */
export interface FencingEpoch {
  readonly number: number;
  /** Distinguishes this allocation from any other. */
  readonly nonce: string;
}

/** Store, nonce source and data centre of the object. */
export interface FencingEpochStoreOptions {
  readonly store: ObjectStore;
  readonly random: Random;
  readonly dataCentre: DataCentreId;
}

const maxAllocationAttempts = 5;
const nonceLength = 16;
const epochSchema = z.object({number: z.number().int(), nonce: z.string()});

/** Allocates epochs by conditional updates of one object per data centre. */
export class FencingEpochStore {
  private readonly key: string;

  private constructor(private readonly options: FencingEpochStoreOptions) {
    this.key = `orders/${options.dataCentre}`;
  }

  /**
   * Creates a client of the object; the first allocation creates the object.
   * @param options - Store, nonce source and data centre.
   */
  static create(options: FencingEpochStoreOptions): FencingEpochStore {
    return new FencingEpochStore(options);
  }

  /**
   * Allocates an epoch above every earlier one. Throws `version_conflict` after
   * five attempts that concurrent allocations won.
   */
  async allocateEpoch(): Promise<FencingEpoch> {
    const nonce = this.options.random.nextToken(nonceLength);
    for (let attempt = 0; attempt < maxAllocationAttempts; attempt++) {
      const current = await this.options.store.getObject(this.key);
      const number = current === undefined ? 1 : parseEpoch(current).number + 1;
      const epoch = {number, nonce};
      if (await this.tryWrite(epoch, current)) return epoch;
    }
    const message = `object "${this.key}" changed during each of ${maxAllocationAttempts} attempts to allocate an epoch`;
    throw MarigoldpostError.create('version_conflict', message);
  }

  /**
   * Checks that no later epoch has been allocated; reads the store.
   * @param epoch - Epoch that this client allocated.
   */
  async isLatest(epoch: FencingEpoch): Promise<boolean> {
    const current = await this.options.store.getObject(this.key);
    return current !== undefined && isSameEpoch(parseEpoch(current), epoch);
  }

  /** Writes an epoch; false if a concurrent allocation came first. */
  private async tryWrite(
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
      // The answer was lost; the nonce tells whether the write took effect.
      if (isErrorOfKind(error, 'store_ambiguous')) return this.isLatest(epoch);
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
