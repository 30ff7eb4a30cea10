/** Objects, versions and change listeners of the in-memory object API. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {
  ListOptions,
  ObjectChange,
  ObjectChanges,
  StoredObject,
} from '@marigoldpost/platform';

const maxValueBytes = 1024 * 1024;

/** Versioned objects; each change gets the next version of one sequence. */
export class MemoryObjects {
  private readonly objects = new Map<string, StoredObject>();
  /** Latest change of each key, in version order. */
  private readonly changes = new Map<string, ObjectChange>();
  private readonly listeners = new Set<() => void>();
  private version = 0;

  private constructor() {}

  /** Creates an empty set of objects. */
  static create(): MemoryObjects {
    return new MemoryObjects();
  }

  /**
   * Gets an object; `undefined` if it does not exist.
   * @param key - Key of the object.
   */
  getObject(key: string): StoredObject | undefined {
    return this.objects.get(key);
  }

  /**
   * Creates an object; throws `object_exists` or `too_large`.
   * @param key - Key of the object.
   * @param value - Value of at most 1 MiB in UTF-8.
   */
  createObject(key: string, value: string): StoredObject {
    if (this.objects.has(key)) {
      throw MarigoldpostError.create(
        'object_exists',
        `object "${key}" already exists`,
      );
    }
    return this.setObject(key, value);
  }

  /**
   * Replaces an object's value; throws `object_missing`, `version_conflict` or
   * `too_large`.
   * @param key - Key of the object.
   * @param value - New value of at most 1 MiB in UTF-8.
   * @param expectedVersion - Version that the object must have.
   */
  updateObject(
    key: string,
    value: string,
    expectedVersion: number,
  ): StoredObject {
    const current = this.objects.get(key);
    if (current === undefined) {
      throw MarigoldpostError.create(
        'object_missing',
        `object "${key}" does not exist`,
      );
    }
    checkVersion(current, expectedVersion);
    return this.setObject(key, value);
  }

  /**
   * Removes an object; has no effect if it does not exist. Throws
   * `version_conflict`.
   * @param key - Key of the object.
   * @param expectedVersion - Version that the object must have; default: any.
   */
  removeObject(key: string, expectedVersion?: number): void {
    const current = this.objects.get(key);
    if (current === undefined) return;
    if (expectedVersion !== undefined) checkVersion(current, expectedVersion);
    this.objects.delete(key);
    this.addChange(key, undefined);
  }

  /**
   * Lists objects in key order.
   * @param prefix - Prefix of the keys.
   * @param options - Key to start after, and maximum number of objects.
   */
  listObjects(prefix: string, options: ListOptions = {}): StoredObject[] {
    const {afterKey, limit} = options;
    const isWanted = (key: string) =>
      key.startsWith(prefix) && (afterKey === undefined || key > afterKey);
    const keys = [...this.objects.keys()].filter(isWanted);
    keys.sort((left, right) => (left < right ? -1 : 1));
    return keys.slice(0, limit).map((key) => this.objects.get(key)!);
  }

  /**
   * Gets the latest change of each key that changed after a version.
   * @param prefix - Prefix of the keys.
   * @param sinceVersion - Version of the last change already seen.
   */
  getChanges(prefix: string, sinceVersion: number): ObjectChanges {
    const changes = [...this.changes.values()].filter(
      (change) =>
        change.version > sinceVersion && change.key.startsWith(prefix),
    );
    return {changes, version: this.version};
  }

  /**
   * Adds a listener for changes of any object.
   * @param listener - Called after each change.
   * @returns Function that removes the listener.
   */
  addListener(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private setObject(key: string, value: string): StoredObject {
    if (Buffer.byteLength(value) > maxValueBytes) {
      throw MarigoldpostError.create(
        'too_large',
        `value of object "${key}" exceeds ${maxValueBytes} bytes`,
      );
    }
    const object = {key, value, version: this.version + 1};
    this.objects.set(key, object);
    this.addChange(key, object);
    return object;
  }

  private addChange(key: string, object: StoredObject | undefined): void {
    this.version += 1;
    this.changes.delete(key);
    this.changes.set(key, {key, object, version: this.version});
    for (const listener of [...this.listeners]) listener();
  }
}

function checkVersion(current: StoredObject, expectedVersion: number): void {
  if (current.version === expectedVersion) return;
  throw MarigoldpostError.create(
    'version_conflict',
    `object "${current.key}" has version ${current.version}, not ${expectedVersion}`,
  );
}
