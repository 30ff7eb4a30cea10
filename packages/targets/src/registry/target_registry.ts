/** The targets of a daemon: which there are, how they fare, how to reach them. */
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

/** Options of a registry. */
export interface TargetRegistryOptions {
  readonly clock: Clock;
  readonly vmList: VmList;
  /** The daemon's data centre. */
  readonly dataCentre: DataCentreId;
  /** Source of clients; HTTP by default. */
  readonly clients?: TargetClientFactory;
  /** Time between two reports of an engine, in milliseconds. */
  readonly loadIntervalMs?: number;
}

const defaultLoadIntervalMs = 500;
/** Keeps a leaving target's new work under 3 s, the list's lag included. */
const vmIntervalMs = 1000;

/** Targets of one daemon. */
export class TargetRegistry {
  private readonly clients: TargetClientFactory;
  private readonly records = new Map<TargetId, TargetRecord>();
  private readonly listeners = new Set<TargetListener>();
  private config: OperatorsConfig | undefined;
  private vms: readonly Vm[] = [];
  private vmTimer: Timer | undefined;
  private wakeTimer: Timer | undefined;
  private isStarted = false;

  private constructor(private readonly options: TargetRegistryOptions) {
    this.clients = options.clients ?? HttpTargetClientFactory.create();
  }

  /**
   * Creates a registry without targets.
   * @param options - Clock, VM list and data centre.
   */
  static create(options: TargetRegistryOptions): TargetRegistry {
    return new TargetRegistry(options);
  }

  /** Starts to follow the VM list and the engines. */
  async start(): Promise<void> {
    this.isStarted = true;
    for (const record of this.records.values()) this.startPoller(record);
    await this.pollVms();
  }

  /** Stops following, and drops the connections; drain before. */
  async stop(): Promise<void> {
    this.isStarted = false;
    this.vmTimer?.cancel();
    this.wakeTimer?.cancel();
    const records = [...this.records.values()];
    this.records.clear();
    for (const record of records) record.poller?.stop();
    await Promise.all(records.map(({client}) => client.destroy()));
  }

  /**
   * Puts the operators' text in force.
   * @param config - The text.
   */
  setConfig(config: OperatorsConfig): void {
    this.config = config;
    this.updateRecords();
  }

  /**
   * Adds a listener; returns what removes it.
   * @param listener - The listener.
   */
  addListener(listener: TargetListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Gets every target, also those that take no work. */
  getTargets(): readonly TargetView[] {
    return [...this.records.values()].map((record) => record.getView());
  }

  /**
   * Gets a target, or nothing when it is not listed.
   * @param target - The target.
   */
  getTarget(target: TargetId): TargetView | undefined {
    return this.records.get(target)?.getView();
  }

  /**
   * Gets the client of a target; throws `no_target` when it is not listed.
   * @param target - The target.
   */
  getClientOrThrow(target: TargetId): TargetClient {
    const record = this.records.get(target);
    if (record !== undefined) return record.client;
    const message = `target "${target}" is not listed`;
    throw MarigoldpostError.create('no_target', message);
  }

  /**
   * Gets the client of an engine; throws `no_target` when it is none.
   * @param target - The target.
   */
  getEngineClientOrThrow(target: TargetId): EngineClient {
    const client = this.getClientOrThrow(target);
    if (client.kind === 'engine') return client.engine;
    const message = `target "${target}" is not an engine`;
    throw MarigoldpostError.create('no_target', message);
  }

  /**
   * Gets the client of a plain service; throws `no_target` when it is none.
   * @param target - The target.
   */
  getPlainClientOrThrow(target: TargetId): PlainServiceClient {
    const client = this.getClientOrThrow(target);
    if (client.kind === 'plain') return client.plain;
    const message = `target "${target}" is not a plain service`;
    throw MarigoldpostError.create('no_target', message);
  }

  /**
   * Whether a call of this daemon runs on some target.
   * @param callId - The call.
   */
  hasWork(callId: CallId): boolean {
    return [...this.records.values()].some(({work}) => work.has(callId));
  }

  /**
   * Notes that a request goes to a target.
   * @param work - The request.
   */
  noteStarted(work: TargetWork): void {
    const record = this.records.get(work.target);
    if (record === undefined) return;
    record.work.set(work.callId, work.fingerprint);
    this.changeHealth(record, () => record.breaker.noteStarted());
  }

  /**
   * Notes that a request got its complete answer, whatever it says.
   * @param work - The request.
   */
  noteSuccess(work: TargetWork): void {
    const record = this.records.get(work.target);
    if (record === undefined) return;
    record.work.delete(work.callId);
    this.changeHealth(record, () => record.breaker.noteSuccess());
  }

  /**
   * Notes that a request failed or was given up; tells whether the target died
   * with it. Listeners have heard of the death when the promise settles.
   * @param work - The request.
   * @param error - What its client threw.
   */
  async noteFailure(work: TargetWork, error: unknown): Promise<boolean> {
    const record = this.records.get(work.target);
    if (record === undefined) return false;
    try {
      return await this.judgeFailure(record, error);
    } finally {
      record.work.delete(work.callId);
    }
  }

  private async judgeFailure(
    record: TargetRecord,
    error: unknown,
  ): Promise<boolean> {
    if (isCut(error)) {
      record.verdict ??= this.judgeDeath(record);
      if (await record.verdict) return true;
    }
    if (isNotRun(error)) void this.judgeRefusal(record);
    else if (isFailureOfTarget(error)) {
      this.changeHealth(record, () => record.breaker.noteFailure(false));
    }
    return false;
  }

  /** Tells a target that refused a request from one that was not reached. */
  private async judgeRefusal(record: TargetRecord): Promise<void> {
    const reachability = await record.client.getReachability();
    this.changeHealth(record, () => {
      if (reachability === 'reachable') record.breaker.noteSuccess();
      else record.breaker.noteFailure(true);
    });
  }

  /** Decides once for all requests that a target's death cut at one time. */
  private async judgeDeath(record: TargetRecord): Promise<boolean> {
    const reachability = await record.client.getReachability();
    record.verdict = undefined;
    if (reachability !== 'refused') return false;
    const fingerprints = [...new Set(record.work.values())];
    record.work.clear();
    this.changeHealth(record, () => record.breaker.noteFailure(true));
    // An earlier verdict has reported all that ran here.
    if (fingerprints.length === 0) return true;
    const death = {target: record.listed.id, fingerprints};
    for (const listener of this.listeners) listener.onTargetDied?.(death);
    return true;
  }

  private async pollVms(): Promise<void> {
    try {
      this.vms = await this.options.vmList.getVms();
      if (this.isStarted) this.updateRecords();
    } catch {
      // The last list stays in force while the platform is away.
    }
    if (!this.isStarted) return;
    this.vmTimer = this.options.clock.setTimer(
      vmIntervalMs,
      () => void this.pollVms(),
    );
  }

  private updateRecords(): void {
    if (this.config === undefined) return;
    const {dataCentre} = this.options;
    const listed = getListedTargets(this.config, this.vms, dataCentre);
    const before = toDigest(this.getTargets());
    const ids = new Set(listed.map(({id}) => id));
    for (const record of [...this.records.values()]) {
      if (!ids.has(record.listed.id)) this.removeRecord(record);
    }
    for (const target of listed) this.putRecord(target);
    if (toDigest(this.getTargets()) !== before) this.announce();
  }

  private putRecord(listed: ListedTarget): void {
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
      onLoad: (load) => this.acceptLoad(record, load),
      onCacheEvents: (events) => {
        for (const listener of this.listeners) {
          listener.onCacheEvents?.(target, events);
        }
      },
      onFailure: (error) => void this.judgeFailure(record, error),
    });
  }

  private acceptLoad(record: TargetRecord, load: EngineLoad): void {
    this.changeHealth(record, () => record.setLoad(load));
    for (const listener of this.listeners) {
      listener.onLoad?.(record.listed.id, load);
    }
  }

  private changeHealth(record: TargetRecord, change: () => void): void {
    const before = toDigest([record.getView()]);
    change();
    if (toDigest([record.getView()]) !== before) this.announce();
  }

  private announce(): void {
    const targets = this.getTargets();
    for (const listener of this.listeners) listener.onTargetsChanged?.(targets);
    this.scheduleWake();
  }

  /** Announces again when a breaker lets the next request through. */
  private scheduleWake(): void {
    this.wakeTimer?.cancel();
    if (!this.isStarted) return;
    const dueMs = [...this.records.values()]
      .map((record) => record.breaker.getNextStartMs())
      .filter((atMs) => atMs !== undefined);
    if (dueMs.length === 0) return;
    const delayMs = Math.min(...dueMs) - this.options.clock.nowMs();
    this.wakeTimer = this.options.clock.setTimer(delayMs, () =>
      this.announce(),
    );
  }
}

/** Whether a request lost its connection after it was sent. */
function isCut(error: unknown): boolean {
  if (isErrorOfKind(error, 'stream_truncated')) return true;
  return isErrorOfKind(error, 'target_failed') && error.outcome === 'unknown';
}

/** Whether a target refused a request, or was never reached. */
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

/** Gets a text that changes with what listeners act upon. */
function toDigest(targets: readonly TargetView[]): string {
  return JSON.stringify(
    targets.map((target) => [
      target.id,
      target.state,
      target.isOpen,
      target.models,
    ]),
  );
}
