/** The platform's object API as the project uses it. */

/** One object at one version. */
export interface StoredObject {
  readonly key: string;
  /** JSON text, at most one megabyte. */
  readonly value: string;
  /** Version of the last change; grows over the whole store. */
  readonly version: number;
  /** JSON text of the object's status, where the platform keeps one. */
  readonly status?: string;
}

/** Every object of a prefix at one moment. */
export interface ObjectSnapshot {
  readonly objects: readonly StoredObject[];
  /** Version from which a watch continues. */
  readonly version: number;
}

/** One change that a watch reports. */
export interface ObjectChange {
  readonly key: string;
  /** The object after the change; nothing when it was removed. */
  readonly object: StoredObject | undefined;
  readonly version: number;
}

/** Result of one wait for changes. */
export interface ObjectChanges {
  readonly changes: readonly ObjectChange[];
  /** Version to pass to the next wait. */
  readonly version: number;
}

/** Options of a listing. */
export interface ListOptions {
  /** Lists keys after this one only. */
  readonly afterKey?: string;
  /** Most objects to return. */
  readonly limit?: number;
}

/**
 * Object API client. Each method makes one call and never retries. Every method
 * may throw `store_unavailable` (the call had no effect); writes may also throw
 * `store_ambiguous` (the call may have taken effect).
 */
export abstract class ObjectStore {
  /**
   * Gets an object, or nothing when it does not exist.
   * @param key - Its key.
   */
  abstract getObject(key: string): Promise<StoredObject | undefined>;

  /**
   * Creates an object; throws `object_exists` when the key is taken.
   * @param key - Its key.
   * @param value - Its value.
   */
  abstract createObject(key: string, value: string): Promise<StoredObject>;

  /**
   * Replaces an object; throws `version_conflict` unless it has the version
   * given, and `object_missing` when it does not exist.
   * @param key - Its key.
   * @param value - The new value.
   * @param expectedVersion - Version that the change was made from.
   */
  abstract updateObject(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<StoredObject>;

  /**
   * Removes an object; a missing one is left alone.
   * @param key - Its key.
   * @param expectedVersion - Throws `version_conflict` at any other version.
   */
  abstract removeObject(key: string, expectedVersion?: number): Promise<void>;

  /**
   * Lists objects in order of their keys.
   * @param prefix - Start of the keys.
   * @param options - Where to start and how many.
   */
  abstract listObjects(
    prefix: string,
    options?: ListOptions,
  ): Promise<StoredObject[]>;

  /**
   * Waits until something changes, or until the platform's own wait ends.
   * @param prefix - Start of the keys watched.
   * @param sinceVersion - Changes after this version are reported.
   * @param signal - Ends the wait.
   * @param waitMs - Longest wait; the client's own by default.
   */
  abstract waitForChanges(
    prefix: string,
    sinceVersion: number,
    signal: AbortSignal,
    waitMs?: number,
  ): Promise<ObjectChanges>;

  /**
   * Reads every object of a prefix, page by page.
   * @param prefix - Start of the keys.
   */
  async readSnapshot(prefix: string): Promise<ObjectSnapshot> {
    const objects: StoredObject[] = [];
    for (;;) {
      const afterKey = objects.at(-1)?.key;
      const page = await this.listObjects(prefix, {afterKey});
      objects.push(...page);
      if (page.length === 0) break;
    }
    const versions = objects.map((object) => object.version);
    return {objects, version: Math.max(0, ...versions)};
  }
}
