/** Writing of objects that have a single writer. */
import {isErrorOfKind} from '@marigoldpost/common';
import type {ObjectStore} from './object_store.js';

/**
 * Creates or updates an object that only this daemon writes; skips the write
 * when the value is already stored.
 * @param store - Object API that holds the object.
 * @param key - Key that no other daemon writes.
 * @param value - JSON text.
 */
export async function putOwnObject(
  store: ObjectStore,
  key: string,
  value: string,
): Promise<void> {
  const known = await store.getObject(key);
  if (known?.value === value) return;
  try {
    if (known === undefined) await store.createObject(key, value);
    else await store.updateObject(key, value, known.version);
  } catch (error) {
    const isConflict = isErrorOfKind(
      error,
      'object_exists',
      'version_conflict',
    );
    if (!isConflict) throw error;
    // Only this daemon writes the key, so an earlier attempt of its own took
    // effect.
    await putOwnObject(store, key, value);
  }
}
