/** In-memory object API with switches for the faults that tests need. */
import type {Clock, Random} from '@marigoldpost/common';
import {
  ObjectStore,
  type ListOptions,
  type ObjectChanges,
  type StoredObject,
} from '@marigoldpost/platform';
import {FaultSwitches} from './fault_switches.js';
import {MemoryObjectClient} from './memory_object_client.js';
import {MemoryObjects} from './memory_objects.js';

/** What the store needs. */
export interface MemoryObjectStoreOptions {
  readonly clock: Clock;
  /** Spreads slow calls over the slowness set; none makes each take all of it. */
  readonly random?: Random;
}

/** Calls that the store has served or refused. */
export interface StoreCallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
}

const ownClientName = 'store';
const noCalls: StoreCallCounts = {reads: 0, writes: 0, watches: 0};

/** Object API in memory; itself a client, and the source of named clients. */
export class MemoryObjectStore extends ObjectStore {
  private readonly objects = MemoryObjects.create();
  private readonly faults: FaultSwitches;
  private readonly clients = new Map<string, MemoryObjectClient>();

  private constructor(private readonly options: MemoryObjectStoreOptions) {
    super();
    this.faults = FaultSwitches.create(options.clock, options.random);
  }

  /**
   * Creates an empty store.
   * @param options - Its clock and source of jitter.
   */
  static create(options: MemoryObjectStoreOptions): MemoryObjectStore {
    return new MemoryObjectStore(options);
  }

  /**
   * Gets the client of one daemon; the same name gives the same client.
   * @param name - Name for cutting it off and for its counters.
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
   * Takes the store down or up for every client.
   * @param isOut - Whether calls fail.
   */
  setOutage(isOut: boolean): void {
    this.faults.setOutage(isOut);
  }

  /**
   * Cuts one client off from the store, or joins it again.
   * @param name - Name of the client.
   * @param isCutOff - Whether its calls fail.
   */
  setCutOff(name: string, isCutOff: boolean): void {
    this.faults.setCutOff(name, isCutOff);
  }

  /**
   * Makes each call take time.
   * @param slownessMs - Time of one call, in milliseconds.
   */
  setSlownessMs(slownessMs: number): void {
    this.faults.slownessMs = slownessMs;
  }

  /**
   * Makes the next writes take effect and then fail with `store_ambiguous`.
   * @param count - Number of writes.
   */
  loseNextAnswers(count: number): void {
    this.faults.answersToLose = count;
  }

  /**
   * Makes the next calls fail with `store_unavailable` and no effect.
   * @param count - Number of calls.
   */
  failNextCalls(count: number): void {
    this.faults.callsToFail = count;
  }

  /**
   * Gets the calls of one client.
   * @param name - Its name; the store's own calls when none is given.
   */
  getCallCounts(name: string = ownClientName): StoreCallCounts {
    return this.clients.get(name)?.getCallCounts() ?? noCalls;
  }

  /** Gets the calls of all clients together. */
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
