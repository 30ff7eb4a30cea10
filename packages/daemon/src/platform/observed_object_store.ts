/** An object API client that counts its calls and notes outages. */
import {type Clock, isErrorOfKind} from '@marigoldpost/common';
import {
  type ListOptions,
  type ObjectChanges,
  ObjectStore,
  type StoredObject,
} from '@marigoldpost/platform';
import type {EventLogger, Metrics} from '@marigoldpost/telemetry';

/** Options of an observed store. */
export interface ObservedObjectStoreOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: Metrics;
}

type Operation = 'get' | 'create' | 'update' | 'remove' | 'list' | 'watch';

/** Passes calls on and tells whether the platform is within reach. */
export class ObservedObjectStore extends ObjectStore {
  private lostAtMs: number | undefined;
  private lastCallAtMs: number;

  private constructor(private readonly options: ObservedObjectStoreOptions) {
    super();
    this.lastCallAtMs = options.clock.nowMs();
  }

  /**
   * Creates a store around another.
   * @param options - The store and who is told.
   */
  static create(options: ObservedObjectStoreOptions): ObservedObjectStore {
    return new ObservedObjectStore(options);
  }

  /** Whether the last call got an answer. */
  reachesPlatform(): boolean {
    return this.lostAtMs === undefined;
  }

  /** Gets the time since the last call ended, in milliseconds. */
  getLastCallAgeMs(): number {
    return this.options.clock.nowMs() - this.lastCallAtMs;
  }

  override getObject(key: string): Promise<StoredObject | undefined> {
    return this.observe('get', this.options.store.getObject(key));
  }

  override createObject(key: string, value: string): Promise<StoredObject> {
    return this.observe('create', this.options.store.createObject(key, value));
  }

  override updateObject(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<StoredObject> {
    const update = this.options.store.updateObject(key, value, expectedVersion);
    return this.observe('update', update);
  }

  override removeObject(key: string, expectedVersion?: number): Promise<void> {
    const removal = this.options.store.removeObject(key, expectedVersion);
    return this.observe('remove', removal);
  }

  override listObjects(
    prefix: string,
    options?: ListOptions,
  ): Promise<StoredObject[]> {
    const listing = this.options.store.listObjects(prefix, options);
    return this.observe('list', listing);
  }

  override waitForChanges(
    prefix: string,
    sinceVersion: number,
    signal: AbortSignal,
  ): Promise<ObjectChanges> {
    const {store} = this.options;
    const changes = store.waitForChanges(prefix, sinceVersion, signal);
    return this.observe('watch', changes);
  }

  private async observe<Value>(
    operation: Operation,
    answer: Promise<Value>,
  ): Promise<Value> {
    try {
      const value = await answer;
      this.noteReached(operation, 'ok');
      return value;
    } catch (error) {
      this.noteError(operation, error);
      throw error;
    }
  }

  private noteError(operation: Operation, error: unknown): void {
    if (isErrorOfKind(error, 'store_unavailable', 'store_ambiguous')) {
      this.noteLost(operation, error.kind);
    } else if (isErrorOfKind(error)) {
      this.noteReached(operation, error.kind);
    }
  }

  private noteLost(operation: Operation, kind: string): void {
    const {clock, logger, metrics} = this.options;
    const labels = {operation, result: kind};
    metrics.addToCounter('platform_calls_total', labels);
    this.lastCallAtMs = clock.nowMs();
    if (this.lostAtMs !== undefined) return;
    this.lostAtMs = clock.nowMs();
    logger.log('platform_lost', {kind});
  }

  private noteReached(operation: Operation, result: string): void {
    const {clock, logger, metrics} = this.options;
    metrics.addToCounter('platform_calls_total', {operation, result});
    this.lastCallAtMs = clock.nowMs();
    if (this.lostAtMs === undefined) return;
    const outageMs = clock.nowMs() - this.lostAtMs;
    this.lostAtMs = undefined;
    logger.log('platform_back', {outageMs});
  }
}
