/** Conditional writes whose lost answers are resolved by reading back. */
import {isErrorOfKind, MarigoldpostError} from '@marigoldpost/common';
import type {ObjectStore, StoredObject} from './object_store.js';

const maxTries = 4;

/** What became of a conditional write. */
export interface WriteResult {
  /** Whether the object holds the value written. */
  readonly isApplied: boolean;
  /** The object as it is now; nothing when it does not exist. */
  readonly object: StoredObject | undefined;
}

/**
 * Writes values that are unique to one attempt (they carry a nonce), so that
 * reading back decides whether a write took effect. Throws `store_unavailable`
 * when it surely did not, `store_ambiguous` when that stayed open.
 */
export class WriteResolver {
  private constructor(private readonly store: ObjectStore) {}

  /**
   * Creates a resolver.
   * @param store - Where it writes.
   */
  static create(store: ObjectStore): WriteResolver {
    return new WriteResolver(store);
  }

  /**
   * Creates an object unless its key is taken.
   * @param key - Its key.
   * @param value - A value that no other attempt uses.
   */
  createObject(key: string, value: string): Promise<WriteResult> {
    return this.resolve(key, value, undefined, () =>
      this.store.createObject(key, value),
    );
  }

  /**
   * Replaces an object unless it has changed.
   * @param key - Its key.
   * @param value - A value that no other attempt uses.
   * @param expectedVersion - Version that it must have.
   */
  updateObject(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<WriteResult> {
    return this.resolve(key, value, expectedVersion, () =>
      this.store.updateObject(key, value, expectedVersion),
    );
  }

  private async resolve(
    key: string,
    value: string,
    versionBefore: number | undefined,
    write: () => Promise<StoredObject>,
  ): Promise<WriteResult> {
    let isOpen = false;
    for (let tries = 1; tries <= maxTries; tries++) {
      try {
        return {isApplied: true, object: await write()};
      } catch (error) {
        isOpen = checkWriteError(error, key, isOpen);
      }
      const object = await this.readBack(key, isOpen);
      if (object?.value === value) return {isApplied: true, object};
      if (object?.version !== versionBefore) return {isApplied: false, object};
    }
    throw createAmbiguous(key);
  }

  private async readBack(
    key: string,
    isOpen: boolean,
  ): Promise<StoredObject | undefined> {
    try {
      return await this.store.getObject(key);
    } catch (error) {
      if (!isOpen || !isErrorOfKind(error, 'store_unavailable')) throw error;
      throw createAmbiguous(key);
    }
  }
}

/** Tells whether the write may still take effect; rethrows other failures. */
function checkWriteError(
  error: unknown,
  key: string,
  isOpen: boolean,
): boolean {
  if (isErrorOfKind(error, 'store_ambiguous')) return true;
  if (isErrorOfKind(error, 'store_unavailable') && isOpen) {
    throw createAmbiguous(key);
  }
  const isRefusal = isErrorOfKind(
    error,
    'object_exists',
    'object_missing',
    'version_conflict',
  );
  if (!isRefusal) throw error;
  return isOpen;
}

function createAmbiguous(key: string): MarigoldpostError {
  return MarigoldpostError.create(
    'store_ambiguous',
    `the write of object "${key}" may have taken effect`,
  );
}
