/** Interface to the platform's object API. */

/** An object at one version. */
export interface StoredObject {
  readonly key: string;
  /** JSON text, at most one megabyte. */
  readonly value: string;
  /** Version of the last change; increases across the whole store. */
  readonly version: number;
  /** JSON text of the object's status, if the platform keeps one. */
  readonly status?: string;
}

/** All objects of a prefix, read page by page. */
export interface ObjectSnapshot {
  readonly objects: readonly StoredObject[];
  /** Version after which a watch continues. */
  readonly version: number;
}

/** A creation, update or removal that a watch reports. */
export interface ObjectChange {
  readonly key: string;
  /** The object after the change; undefined when it was removed. */
  readonly object: StoredObject | undefined;
  readonly version: number;
}

/** Result of one call that waits for changes. */
export interface ObjectChanges {
  readonly changes: readonly ObjectChange[];
  /** Version to pass to the next call. */
  readonly version: number;
}

/** Source of the changes of objects. */
export interface ChangeSource {
  /**
   * Waits until an object of a prefix changes or the wait expires. May
   * throw `history_gone` when the source no longer has the changes.
   * @param prefix - Prefix of the keys.
   * @param sinceVersion - Only changes after this version are reported.
   * @param signal - Aborts the wait.
   * @param waitMs - Longest wait; the source's default if omitted.
   */
  waitForChanges(
    prefix: string,
    sinceVersion: number,
    signal: AbortSignal,
    waitMs?: number,
  ): Promise<ObjectChanges>;
}

/** Start and size of a page of objects. */
export interface ListOptions {
  /** Returns only keys after this one. */
  readonly afterKey?: string;
  /** Most objects to return. */
  readonly limit?: number;
}

/**
 * Object API client. Abstract methods make one call and never retry. Every
 * method may throw `store_unavailable` (the call had no effect); writes may
 * also throw `store_ambiguous` (the call may have taken effect).
 */
export abstract class ObjectStore implements ChangeSource {
  /**
   * Gets an object; undefined when it does not exist.
   * @param key - Key of the object.
   */
  abstract getObject(key: string): Promise<StoredObject | undefined>;

  /**
   * Creates an object; throws `object_exists` when the key exists.
   * @param key - Key of the object.
   * @param value - JSON text.
   */
  abstract createObject(key: string, value: string): Promise<StoredObject>;

  /**
   * Replaces an object; throws `version_conflict` unless it has the expected
   * version, and `object_missing` when it does not exist.
   * @param key - Key of the object.
   * @param value - New value, as JSON text.
   * @param expectedVersion - Version that the change is based on.
   */
  abstract updateObject(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<StoredObject>;

  /**
   * Removes an object; no error when it does not exist.
   * @param key - Key of the object.
   * @param expectedVersion - Throws `version_conflict` at any other version.
   */
  abstract removeObject(key: string, expectedVersion?: number): Promise<void>;

  /**
   * Lists objects in key order.
   * @param prefix - Prefix of the keys.
   * @param options - Start and size of the page.
   */
  abstract listObjects(
    prefix: string,
    options?: ListOptions,
  ): Promise<StoredObject[]>;

  abstract waitForChanges(
    prefix: string,
    sinceVersion: number,
    signal: AbortSignal,
    waitMs?: number,
  ): Promise<ObjectChanges>;

  /** Whether reads may return data that is seconds old. */
  get mayReadStale(): boolean {
    return false;
  }

  /**
   * Gets a client of the same store whose reads may return data that is seconds
   * old, which some stores serve at a lower cost.
   */
  getStaleReader(): ObjectStore {
    return this;
  }

  /**
   * Reads all objects of a prefix, page by page.
   * @param prefix - Prefix of the keys.
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
