/** Registry of a daemon's targets: discovery, health and clients. */
import {
  type CallId,
  type Clock,
  type DataCentreId,
  isErrorOfKind,
  MarigoldpostError,
  type TargetId,
  type Timer,
} from '@marigoldpost/common';
import type {Vm, VmList} from '@marigoldpost/platform';
import type {OperatorsConfig} from '@marigoldpost/settings';
import type {EngineClient, EngineLoad} from '../engine/engine_client.js';
import type {PlainServiceClient} from '../plain/plain_service_client.js';
import {EnginePoller} from './engine_poller.js';
import {HttpTargetClientFactory} from './http_target_clients.js';
import type {TargetClient, TargetClientFactory} from './target_clients.js';
import {getListedTargets, type ListedTarget} from './target_directory.js';
import {TargetRecord} from './target_record.js';
import type {TargetListener, TargetView, TargetWork} from './target_view.js';

/** Dependencies and poll interval of a registry. */
export interface TargetRegistryOptions {
  readonly clock: Clock;
  readonly vmList: VmList;
  /** Data centre of the daemon. */
  readonly dataCentre: DataCentreId;
  /** Factory of clients; default: over HTTP. */
  readonly clients?: TargetClientFactory;
  /** Time between two polls of an engine, in milliseconds; default: 500. */
  readonly loadIntervalMs?: number;
}

const defaultLoadIntervalMs = 500;
/**
 * Poll interval of the VM list. New requests to a leaving target stop within
 * 3 s, including the lag of the list.
 */
const vmListIntervalMs = 1000;

/**
 * Targets of one daemon. Follows the configuration and the VM list, polls
 * engines, and updates the health of targets by the results of requests.
 */
export class TargetRegistry {
  private readonly clients: TargetClientFactory;
  private readonly records = new Map<TargetId, TargetRecord>();
  private readonly listeners = new Set<TargetListener>();
  private config: OperatorsConfig | undefined;
  private vms: readonly Vm[] = [];
  private vmListTimer: Timer | undefined;
  private notificationTimer: Timer | undefined;
  private isStarted = false;

  private constructor(private readonly options: TargetRegistryOptions) {
    this.clients = options.clients ?? HttpTargetClientFactory.create();
  }

  /**
   * Creates a registry; `setConfig` and `start` add targets.
   * @param options - Clock, VM list and data centre.
   */
  static create(options: TargetRegistryOptions): TargetRegistry {
    return new TargetRegistry(options);
  }

  /** Starts polling the VM list and the engines. */
  async start(): Promise<void> {
    this.isStarted = true;
    for (const record of this.records.values()) this.startPoller(record);
    await this.pollVmList();
  }

  /** Stops polling and closes all connections; drain requests before. */
  async stop(): Promise<void> {
    this.isStarted = false;
    this.vmListTimer?.cancel();
    this.notificationTimer?.cancel();
    const records = [...this.records.values()];
    this.records.clear();
    for (const record of records) record.poller?.stop();
    await Promise.all(records.map(({client}) => client.destroy()));
  }

  /**
   * Applies a version of the operators' configuration.
   * @param config - Configuration that is now in force.
   */
  setConfig(config: OperatorsConfig): void {
    this.config = config;
    this.updateRecords();
  }

  /**
   * Adds a listener and returns a function that removes it.
   * @param listener - Notified of changes, loads, cache events and deaths.
   */
  addListener(listener: TargetListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Gets all targets, including those that admit no requests. */
  getTargets(): readonly TargetView[] {
    return [...this.records.values()].map((record) => record.getView());
  }

  /**
   * Gets a target, or `undefined` if it is not listed.
   * @param target - Id of the target.
   */
  getTarget(target: TargetId): TargetView | undefined {
    return this.records.get(target)?.getView();
  }

  /**
   * Gets the client of a target; throws `no_target` if it is not listed.
   * @param target - Id of the target.
   */
  getClientOrThrow(target: TargetId): TargetClient {
    const record = this.records.get(target);
    if (record !== undefined) return record.client;
    const message = `target "${target}" is not listed`;
    throw MarigoldpostError.create('no_target', message);
  }

  /**
   * Gets the client of an engine; throws `no_target` if it is no listed engine.
   * @param target - Id of the target.
   */
  getEngineClientOrThrow(target: TargetId): EngineClient {
    const client = this.getClientOrThrow(target);
    if (client.kind === 'engine') return client.engine;
    const message = `target "${target}" is not an engine`;
    throw MarigoldpostError.create('no_target', message);
  }

  /**
   * Gets the client of an instance of a plain service; throws `no_target` if it
   * is no listed instance.
   * @param target - Id of the target.
   */
  getPlainClientOrThrow(target: TargetId): PlainServiceClient {
    const client = this.getClientOrThrow(target);
    if (client.kind === 'plain') return client.plain;
    const message = `target "${target}" is not a plain service`;
    throw MarigoldpostError.create('no_target', message);
  }

  /**
   * Checks whether a call of this daemon is in flight at any target.
   * @param callId - Call to look for.
   */
  hasWork(callId: CallId): boolean {
    return [...this.records.values()].some(({work}) => work.has(callId));
  }

  /**
   * Records that a request is about to be sent to a target.
   * @param work - Request and its target.
   */
  recordStart(work: TargetWork): void {
    const record = this.records.get(work.target);
    if (record === undefined) return;
    record.work.set(work.callId, work.fingerprint);
    this.updateAndNotify(record, () => record.breaker.recordStart());
  }

  /**
   * Records that a request got a complete answer, with any status.
   * @param work - Request and its target.
   */
  recordSuccess(work: TargetWork): void {
    const record = this.records.get(work.target);
    if (record === undefined) return;
    record.work.delete(work.callId);
    this.updateAndNotify(record, () => record.breaker.recordSuccess());
  }

  /**
   * Records that a request failed or was aborted; resolves to whether the
   * target died with it. Listeners are notified of the death before that.
   * @param work - Request and its target.
   * @param error - Error that the client threw.
   */
  async recordFailure(work: TargetWork, error: unknown): Promise<boolean> {
    const record = this.records.get(work.target);
    if (record === undefined) return false;
    try {
      return await this.handleFailure(record, error);
    } finally {
      record.work.delete(work.callId);
    }
  }

  private async handleFailure(
    record: TargetRecord,
    error: unknown,
  ): Promise<boolean> {
    if (isConnectionLost(error)) {
      record.pendingDeathCheck ??= this.checkDeath(record);
      if (await record.pendingDeathCheck) return true;
    }
    if (isNotRun(error)) void this.handleNotRun(record);
    else if (isFailureOfTarget(error)) {
      this.updateAndNotify(record, () => record.breaker.recordFailure(false));
    }
    return false;
  }

  /**
   * Distinguishes a target that refused a request, which counts as a success,
   * from one that could not be reached, which opens the breaker.
   */
  private async handleNotRun(record: TargetRecord): Promise<void> {
    const reachability = await record.client.getReachability();
    this.updateAndNotify(record, () => {
      if (reachability === 'reachable') record.breaker.recordSuccess();
      else record.breaker.recordFailure(true);
    });
  }

  /**
   * Checks whether the target has died: its VM refuses connections. One check
   * serves all requests that lost their connection at the same time.
   */
  private async checkDeath(record: TargetRecord): Promise<boolean> {
    const reachability = await record.client.getReachability();
    record.pendingDeathCheck = undefined;
    if (reachability !== 'refused') return false;
    const fingerprints = [...new Set(record.work.values())];
    record.work.clear();
    this.updateAndNotify(record, () => record.breaker.recordFailure(true));
    // An earlier check has already reported all requests that ran here.
    if (fingerprints.length === 0) return true;
    const death = {target: record.listed.id, fingerprints};
    for (const listener of this.listeners) listener.onTargetDied?.(death);
    return true;
  }

  private async pollVmList(): Promise<void> {
    try {
      this.vms = await this.options.vmList.getVms();
      if (this.isStarted) this.updateRecords();
    } catch {
      // The last list stays in force while the platform is unavailable.
    }
    if (!this.isStarted) return;
    this.vmListTimer = this.options.clock.setTimer(
      vmListIntervalMs,
      () => void this.pollVmList(),
    );
  }

  private updateRecords(): void {
    if (this.config === undefined) return;
    const {dataCentre} = this.options;
    const listed = getListedTargets(this.config, this.vms, dataCentre);
    const before = toChangeKey(this.getTargets());
    const ids = new Set(listed.map(({id}) => id));
    for (const record of [...this.records.values()]) {
      if (!ids.has(record.listed.id)) this.removeRecord(record);
    }
    for (const target of listed) this.addOrUpdateRecord(target);
    if (toChangeKey(this.getTargets()) !== before) this.notifyTargetsChanged();
  }

  private addOrUpdateRecord(listed: ListedTarget): void {
    const record = this.records.get(listed.id);
    if (record !== undefined && isSameEndpoint(record.listed, listed)) {
      record.listed = listed;
      return;
    }
    if (record !== undefined) this.removeRecord(record);
    const client = this.createClient(listed);
    const added = TargetRecord.create(listed, client, this.options.clock);
    this.records.set(listed.id, added);
    if (this.isStarted) this.startPoller(added);
  }

  private removeRecord(record: TargetRecord): void {
    this.records.delete(record.listed.id);
    record.poller?.stop();
    void record.client.close();
  }

  private createClient(listed: ListedTarget): TargetClient {
    const endpoint = {
      target: listed.id,
      address: listed.address,
      timeoutMs: listed.service.timeoutMs,
      clock: this.options.clock,
    };
    return listed.service.kind === 'engine'
      ? this.clients.createEngine(endpoint)
      : this.clients.createPlain(endpoint);
  }

  private startPoller(record: TargetRecord): void {
    if (record.client.kind !== 'engine') return;
    const target = record.listed.id;
    record.poller = EnginePoller.create({
      target,
      engine: record.client.engine,
      clock: this.options.clock,
      intervalMs: this.options.loadIntervalMs ?? defaultLoadIntervalMs,
      onLoad: (load) => this.handleLoad(record, load),
      onCacheEvents: (events) => {
        for (const listener of this.listeners) {
          listener.onCacheEvents?.(target, events);
        }
      },
      onFailure: (error) => void this.handleFailure(record, error),
    });
  }

  private handleLoad(record: TargetRecord, load: EngineLoad): void {
    this.updateAndNotify(record, () => record.setLoad(load));
    for (const listener of this.listeners) {
      listener.onLoad?.(record.listed.id, load);
    }
  }

  private updateAndNotify(record: TargetRecord, change: () => void): void {
    const before = toChangeKey([record.getView()]);
    change();
    if (toChangeKey([record.getView()]) !== before) this.notifyTargetsChanged();
  }

  private notifyTargetsChanged(): void {
    const targets = this.getTargets();
    for (const listener of this.listeners) listener.onTargetsChanged?.(targets);
    this.scheduleNotification();
  }

  /** Schedules a notification for when a breaker admits the next request. */
  private scheduleNotification(): void {
    this.notificationTimer?.cancel();
    if (!this.isStarted) return;
    const dueMs = [...this.records.values()]
      .map((record) => record.breaker.getNextAllowedStartMs())
      .filter((atMs) => atMs !== undefined);
    if (dueMs.length === 0) return;
    const delayMs = Math.min(...dueMs) - this.options.clock.nowMs();
    this.notificationTimer = this.options.clock.setTimer(delayMs, () =>
      this.notifyTargetsChanged(),
    );
  }
}

/** Checks whether a request lost its connection after it was sent. */
function isConnectionLost(error: unknown): boolean {
  if (isErrorOfKind(error, 'stream_truncated')) return true;
  return isErrorOfKind(error, 'target_failed') && error.outcome === 'unknown';
}

/** Checks whether a target refused a request or was never reached. */
function isNotRun(error: unknown): boolean {
  return isErrorOfKind(error, 'target_failed') && error.outcome === 'not_run';
}

function isFailureOfTarget(error: unknown): boolean {
  return isErrorOfKind(
    error,
    'target_failed',
    'target_timeout',
    'stream_truncated',
  );
}

function isSameEndpoint(left: ListedTarget, right: ListedTarget): boolean {
  return (
    left.address === right.address &&
    left.service.kind === right.service.kind &&
    left.service.timeoutMs === right.service.timeoutMs
  );
}

/** Gets a key that differs when listeners must be notified of a change. */
function toChangeKey(targets: readonly TargetView[]): string {
  return JSON.stringify(
    targets.map((target) => [
      target.id,
      target.state,
      target.isOpen,
      target.models,
    ]),
  );
}
