/** Client of the in-memory object API. */
import type {Clock} from '@marigoldpost/common';
import {
  ObjectStore,
  type ListOptions,
  type ObjectChanges,
  type StoredObject,
} from '@marigoldpost/platform';
import {createUnavailable, type ObjectApiFaults} from './object_api_faults.js';
import type {MemoryObjects} from './memory_objects.js';

/** Timeout of a watch, in milliseconds. */
const maxWatchMs = 30_000;

/** Name of a client, and the state that clients of a store share. */
export interface MemoryObjectClientParts {
  readonly name: string;
  readonly clock: Clock;
  readonly objects: MemoryObjects;
  readonly faults: ObjectApiFaults;
}

/** Client that can be disconnected by its name and counts its calls. */
export class MemoryObjectClient extends ObjectStore {
  private reads = 0;
  private writes = 0;
  private watches = 0;

  private constructor(private readonly parts: MemoryObjectClientParts) {
    super();
  }

  /**
   * Creates a client.
   * @param parts - Name, clock, and the objects and faults of the store.
   */
  static create(parts: MemoryObjectClientParts): MemoryObjectClient {
    return new MemoryObjectClient(parts);
  }

  /** Gets the number of calls so far, failed ones included. */
  getCallCounts(): {reads: number; writes: number; watches: number} {
    return {reads: this.reads, writes: this.writes, watches: this.watches};
  }

  override getObject(key: string): Promise<StoredObject | undefined> {
    return this.read((objects) => objects.getObject(key));
  }

  override listObjects(
    prefix: string,
    options?: ListOptions,
  ): Promise<StoredObject[]> {
    return this.read((objects) => objects.listObjects(prefix, options));
  }

  override createObject(key: string, value: string): Promise<StoredObject> {
    return this.write((objects) => objects.createObject(key, value));
  }

  override updateObject(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<StoredObject> {
    return this.write((objects) =>
      objects.updateObject(key, value, expectedVersion),
    );
  }

  override removeObject(key: string, expectedVersion?: number): Promise<void> {
    return this.write((objects) => objects.removeObject(key, expectedVersion));
  }

  override async waitForChanges(
    prefix: string,
    sinceVersion: number,
    signal: AbortSignal,
  ): Promise<ObjectChanges> {
    const {faults, name, objects} = this.parts;
    this.watches += 1;
    await faults.simulateRequest(name);
    signal.throwIfAborted();
    const changes = objects.getChanges(prefix, sinceVersion);
    if (changes.changes.length > 0) return changes;
    await this.waitForChangeOrEnd(prefix, sinceVersion, signal);
    signal.throwIfAborted();
    if (!faults.isReachable(name)) throw createUnavailable();
    return objects.getChanges(prefix, sinceVersion);
  }

  /** Waits for a change, a disconnection, an abort or the timeout. */
  private async waitForChangeOrEnd(
    prefix: string,
    sinceVersion: number,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, faults, name, objects} = this.parts;
    const cleanups: Array<() => void> = [];
    await new Promise<void>((resolve) => {
      const check = () => {
        const isOver =
          !faults.isReachable(name) ||
          objects.getChanges(prefix, sinceVersion).changes.length > 0;
        if (isOver) resolve();
      };
      const onAbort = () => resolve();
      const timer = clock.setTimer(maxWatchMs, resolve);
      signal.addEventListener('abort', onAbort, {once: true});
      cleanups.push(
        () => timer.cancel(),
        () => signal.removeEventListener('abort', onAbort),
        objects.addListener(check),
        faults.addListener(check),
      );
    });
    for (const cleanup of cleanups) cleanup();
  }

  private async read<Result>(
    action: (objects: MemoryObjects) => Result,
  ): Promise<Result> {
    const {faults, name, objects} = this.parts;
    this.reads += 1;
    await faults.simulateRequest(name);
    const result = action(objects);
    await faults.simulateReadResponse(name);
    return result;
  }

  private async write<Result>(
    action: (objects: MemoryObjects) => Result,
  ): Promise<Result> {
    const {faults, name, objects} = this.parts;
    this.writes += 1;
    await faults.simulateRequest(name);
    const result = action(objects);
    await faults.simulateWriteResponse(name);
    return result;
  }
}
