/** Conditional writes whose lost responses are resolved by reading back. */
import {isErrorOfKind, MarigoldpostError} from '@marigoldpost/common';
import type {ObjectStore, StoredObject} from './object_store.js';

const maxAttempts = 4;

/** Outcome of a conditional write. */
export interface WriteResult {
  /** Whether the write took effect. */
  readonly isApplied: boolean;
  /** The current object; undefined when it does not exist. */
  readonly object: StoredObject | undefined;
}

/**
 * Makes conditional writes and resolves ambiguous ones by reading back. Each
 * value must be unique to one write (it carries a nonce), so that reading it
 * back proves that the write took effect. Throws `store_unavailable` when it
 * certainly did not, `store_ambiguous` when that remains unknown.
 */
export class WriteResolver {
  private constructor(private readonly store: ObjectStore) {}

  /**
   * Creates a resolver.
   * @param store - Object API that is written.
   */
  static create(store: ObjectStore): WriteResolver {
    return new WriteResolver(store);
  }

  /**
   * Creates an object unless its key exists.
   * @param key - Key of the object.
   * @param value - Value that no other write uses.
   */
  createObject(key: string, value: string): Promise<WriteResult> {
    return this.resolve(key, value, undefined, () =>
      this.store.createObject(key, value),
    );
  }

  /**
   * Replaces an object unless it has changed.
   * @param key - Key of the object.
   * @param value - Value that no other write uses.
   * @param expectedVersion - Version that the object must have.
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
    let isUnknown = false;
    for (let attempt = 1; attempt <= maxAttempts; attempt++) {
      try {
        return {isApplied: true, object: await write()};
      } catch (error) {
        isUnknown = checkWriteError(error, key, isUnknown);
      }
      const object = await this.readBack(key, isUnknown);
      if (object?.value === value) return {isApplied: true, object};
      if (object?.version !== versionBefore) return {isApplied: false, object};
    }
    throw createAmbiguous(key);
  }

  private async readBack(
    key: string,
    isUnknown: boolean,
  ): Promise<StoredObject | undefined> {
    try {
      return await this.store.getObject(key);
    } catch (error) {
      if (!isUnknown || !isErrorOfKind(error, 'store_unavailable')) throw error;
      throw createAmbiguous(key);
    }
  }
}

/**
 * Returns whether the write may have taken effect, including earlier attempts;
 * throws when the failure is neither ambiguous nor a conflict.
 */
function checkWriteError(
  error: unknown,
  key: string,
  isUnknown: boolean,
): boolean {
  if (isErrorOfKind(error, 'store_ambiguous')) return true;
  if (isErrorOfKind(error, 'store_unavailable') && isUnknown) {
    throw createAmbiguous(key);
  }
  const isRejected = isErrorOfKind(
    error,
    'object_exists',
    'object_missing',
    'version_conflict',
  );
  if (!isRejected) throw error;
  return isUnknown;
}

function createAmbiguous(key: string): MarigoldpostError {
  return MarigoldpostError.create(
    'store_ambiguous',
    `the write of object "${key}" may have taken effect`,
  );
}
