/** Writes of objects that only one daemon writes. */
import {isErrorOfKind} from '@marigoldpost/common';
import type {ObjectStore} from './object_store.js';

/**
 * Puts an object of the daemon's own; writes nothing when it is up to date.
 * @param store - The object API.
 * @param key - Key that no other daemon writes.
 * @param value - Its value.
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
    const isOwnWrite = isErrorOfKind(
      error,
      'object_exists',
      'version_conflict',
    );
    if (!isOwnWrite) throw error;
    // Only this daemon writes the key, so the conflict is with a former try.
    await putOwnObject(store, key, value);
  }
}
