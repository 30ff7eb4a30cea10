/** All that a registry keeps of one target. */
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

/** One target with its client, health and requests in flight. */
export class TargetRecord {
  readonly breaker: CircuitBreaker;
  readonly work = new Map<CallId, Fingerprint>();
  poller: EnginePoller | undefined;
  /** Decides whether the target has died; set while that is under way. */
  verdict: Promise<boolean> | undefined;
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
   * Creates a record.
   * @param listed - What the text and the VM list say.
   * @param client - Its client.
   * @param clock - Source of time.
   */
  static create(
    listed: ListedTarget,
    client: TargetClient,
    clock: Clock,
  ): TargetRecord {
    return new TargetRecord(listed, client, clock);
  }

  /**
   * Takes in a load report.
   * @param load - The report.
   */
  setLoad(load: EngineLoad): void {
    this.load = load;
    this.loadAtMs = this.clock.nowMs();
  }

  /** Gets what others may see. */
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
      isOpen: state === 'open' || (state === 'probing' && this.canProbe()),
      models: this.getModels(),
      checksFencing: service.checksFencing,
      inFlight: this.work.size,
      load,
      loadAgeMs:
        load === undefined ? undefined : this.clock.nowMs() - this.loadAtMs,
    };
  }

  private canProbe(): boolean {
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
