/** State that a registry holds of one target. */
import type {CallId, Clock, Fingerprint, ModelId} from '@marigoldpost/common';
import type {EngineLoad} from '../engine/engine_client.js';
import {CircuitBreaker} from './circuit_breaker.js';
import type {EnginePoller} from './engine_poller.js';
import type {TargetClient} from './target_clients.js';
import type {ListedTarget} from './target_directory.js';
import type {TargetState, TargetView} from './target_view.js';

const breakerOptions = {
  failuresToOpen: 3,
  baseOpenMs: 500,
  maxOpenMs: 10_000,
};

/** A target with its client, circuit breaker, load and requests in flight. */
export class TargetRecord {
  readonly breaker: CircuitBreaker;
  readonly work = new Map<CallId, Fingerprint>();
  poller: EnginePoller | undefined;
  /** Check whether the target has died; set while it is in progress. */
  pendingDeathCheck: Promise<boolean> | undefined;
  private load: EngineLoad | undefined;
  private loadAtMs = 0;

  private constructor(
    public listed: ListedTarget,
    readonly client: TargetClient,
    private readonly clock: Clock,
  ) {
    this.breaker = CircuitBreaker.create(breakerOptions, clock);
  }

  /**
   * Creates a record with a closed circuit breaker.
   * @param listed - Target as the configuration and the VM list describe it.
   * @param client - Client that requests to the target use.
   * @param clock - Clock of the breaker and of load ages.
   */
  static create(
    listed: ListedTarget,
    client: TargetClient,
    clock: Clock,
  ): TargetRecord {
    return new TargetRecord(listed, client, clock);
  }

  /**
   * Stores a load report with the current time.
   * @param load - Report of the engine.
   */
  setLoad(load: EngineLoad): void {
    this.load = load;
    this.loadAtMs = this.clock.nowMs();
  }

  /** Gets an immutable snapshot for listeners and schedulers. */
  getView(): TargetView {
    const {id, service, dataCentre, address} = this.listed;
    const state = this.getState();
    const {load} = this;
    return {
      id,
      service: service.id,
      kind: service.kind,
      dataCentre,
      address,
      state,
      isOpen: state === 'open' || (state === 'probing' && this.canStartProbe()),
      models: this.getModels(),
      checksFencing: service.checksFencing,
      inFlight: this.work.size,
      load,
      loadAgeMs:
        load === undefined ? undefined : this.clock.nowMs() - this.loadAtMs,
    };
  }

  private canStartProbe(): boolean {
    return this.breaker.canStart();
  }

  private getModels(): readonly ModelId[] {
    if (this.load !== undefined) return this.load.models;
    const {service} = this.listed;
    return service.kind === 'engine' ? service.models : [];
  }

  private getState(): TargetState {
    if (this.listed.isLeaving) return 'leaving';
    switch (this.breaker.getState()) {
      case 'closed':
        return 'open';
      case 'half_open':
        return 'probing';
      case 'open':
        return 'unhealthy';
    }
  }
}
