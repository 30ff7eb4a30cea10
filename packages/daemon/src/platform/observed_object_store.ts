/** Object API client that counts calls and logs outages of the platform. */
import {type Clock, isErrorOfKind} from '@marigoldpost/common';
import {
  type ListOptions,
  type ObjectChanges,
  ObjectStore,
  type StoredObject,
} from '@marigoldpost/platform';
import type {EventLogger, Metrics} from '@marigoldpost/telemetry';

/** The store to observe, and where calls and outages are reported. */
export interface ObservedObjectStoreOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: Metrics;
}

type Operation = 'get' | 'create' | 'update' | 'remove' | 'list' | 'watch';

/** Forwards calls to a store and tracks whether the platform is reachable. */
export class ObservedObjectStore extends ObjectStore {
  private outageStartMs: number | undefined;
  private lastCallAtMs: number;

  private constructor(private readonly options: ObservedObjectStoreOptions) {
    super();
    this.lastCallAtMs = options.clock.nowMs();
  }

  /**
   * Creates a store that forwards to another.
   * @param options - The other store, clock, logger and metrics.
   */
  static create(options: ObservedObjectStoreOptions): ObservedObjectStore {
    return new ObservedObjectStore(options);
  }

  /** Whether the last completed call got a response, an error included. */
  reachesPlatform(): boolean {
    return this.outageStartMs === undefined;
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
    response: Promise<Value>,
  ): Promise<Value> {
    try {
      const value = await response;
      this.recordResponse(operation, 'ok');
      return value;
    } catch (error) {
      this.recordError(operation, error);
      throw error;
    }
  }

  private recordError(operation: Operation, error: unknown): void {
    if (isErrorOfKind(error, 'store_unavailable', 'store_ambiguous')) {
      this.recordOutage(operation, error.kind);
    } else if (isErrorOfKind(error)) {
      this.recordResponse(operation, error.kind);
    }
  }

  private recordOutage(operation: Operation, kind: string): void {
    const {clock, logger, metrics} = this.options;
    const labels = {operation, result: kind};
    metrics.addToCounter('platform_calls_total', labels);
    this.lastCallAtMs = clock.nowMs();
    if (this.outageStartMs !== undefined) return;
    this.outageStartMs = clock.nowMs();
    logger.log('platform_lost', {kind});
  }

  private recordResponse(operation: Operation, result: string): void {
    const {clock, logger, metrics} = this.options;
    metrics.addToCounter('platform_calls_total', {operation, result});
    this.lastCallAtMs = clock.nowMs();
    if (this.outageStartMs === undefined) return;
    const outageMs = clock.nowMs() - this.outageStartMs;
    this.outageStartMs = undefined;
    logger.log('platform_back', {outageMs});
  }
}
