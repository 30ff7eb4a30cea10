/** In-memory object API with fault injection. */
import type {Clock, Random} from '@marigoldpost/common';
import {
  ObjectStore,
  type ListOptions,
  type ObjectChanges,
  type StoredObject,
} from '@marigoldpost/platform';
import {ObjectApiFaults} from './object_api_faults.js';
import {MemoryObjectClient} from './memory_object_client.js';
import {MemoryObjects} from './memory_objects.js';

/** Clock and source of jitter of an in-memory store. */
export interface MemoryObjectStoreOptions {
  readonly clock: Clock;
  /** Adds jitter of up to ±50 % to the duration of calls; default: no jitter. */
  readonly random?: Random;
}

/** Number of calls, failed ones included. */
export interface StoreCallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
}

const ownClientName = 'store';
const noCalls: StoreCallCounts = {reads: 0, writes: 0, watches: 0};

/** Object API in memory; itself a client, and the factory of named clients. */
export class MemoryObjectStore extends ObjectStore {
  private readonly objects = MemoryObjects.create();
  private readonly faults: ObjectApiFaults;
  private readonly clients = new Map<string, MemoryObjectClient>();

  private constructor(private readonly options: MemoryObjectStoreOptions) {
    super();
    this.faults = ObjectApiFaults.create(options.clock, options.random);
  }

  /**
   * Creates an empty store.
   * @param options - Clock and source of jitter.
   */
  static create(options: MemoryObjectStoreOptions): MemoryObjectStore {
    return new MemoryObjectStore(options);
  }

  /**
   * Gets or creates the client with a name.
   * @param name - Identifies the client for `setOffline` and `getCallCounts`.
   */
  createClient(name: string): ObjectStore {
    let client = this.clients.get(name);
    if (client === undefined) {
      const {clock} = this.options;
      const parts = {name, clock, objects: this.objects, faults: this.faults};
      client = MemoryObjectClient.create(parts);
      this.clients.set(name, client);
    }
    return client;
  }

  /**
   * Starts or ends an outage for all clients.
   * @param isOut - Whether all calls fail.
   */
  setOutage(isOut: boolean): void {
    this.faults.setOutage(isOut);
  }

  /**
   * Disconnects or reconnects one client.
   * @param name - Name of the client.
   * @param isOffline - Whether the client's calls fail.
   */
  setOffline(name: string, isOffline: boolean): void {
    this.faults.setOffline(name, isOffline);
  }

  /**
   * Sets the duration of calls; watches are delayed by half of it.
   * @param durationMs - Duration of one call without jitter, in milliseconds.
   */
  setCallDurationMs(durationMs: number): void {
    this.faults.callDurationMs = durationMs;
  }

  /**
   * Makes the next writes take effect and then fail with `store_ambiguous`.
   * @param count - Number of responses to lose.
   */
  loseNextWriteResponses(count: number): void {
    this.faults.writeResponsesToLose = count;
  }

  /**
   * Makes the next calls fail with `store_unavailable`, without an effect.
   * @param count - Number of calls, watches included.
   */
  failNextCalls(count: number): void {
    this.faults.callsToFail = count;
  }

  /**
   * Gets the call counts of one client; all zero for an unknown name.
   * @param name - Name of the client; default: the store itself.
   */
  getCallCounts(name: string = ownClientName): StoreCallCounts {
    return this.clients.get(name)?.getCallCounts() ?? noCalls;
  }

  /** Gets the sum of the call counts of all clients. */
  getTotalCallCounts(): StoreCallCounts {
    const total = {...noCalls};
    for (const client of this.clients.values()) {
      const counts = client.getCallCounts();
      total.reads += counts.reads;
      total.writes += counts.writes;
      total.watches += counts.watches;
    }
    return total;
  }

  override getObject(key: string): Promise<StoredObject | undefined> {
    return this.createClient(ownClientName).getObject(key);
  }

  override createObject(key: string, value: string): Promise<StoredObject> {
    return this.createClient(ownClientName).createObject(key, value);
  }

  override updateObject(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<StoredObject> {
    const client = this.createClient(ownClientName);
    return client.updateObject(key, value, expectedVersion);
  }

  override removeObject(key: string, expectedVersion?: number): Promise<void> {
    return this.createClient(ownClientName).removeObject(key, expectedVersion);
  }

  override listObjects(
    prefix: string,
    options?: ListOptions,
  ): Promise<StoredObject[]> {
    return this.createClient(ownClientName).listObjects(prefix, options);
  }

  override waitForChanges(
    prefix: string,
    sinceVersion: number,
    signal: AbortSignal,
  ): Promise<ObjectChanges> {
    const client = this.createClient(ownClientName);
    return client.waitForChanges(prefix, sinceVersion, signal);
  }
}
