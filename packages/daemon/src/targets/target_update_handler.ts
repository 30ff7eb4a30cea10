/** Forwards changes of targets to the scheduler and to the quarantine. */
import type {
  CacheEvent,
  EngineLoad,
  Quarantine,
  TargetDeath,
  TargetListener,
  TargetView,
} from '@marigoldpost/targets';
import type {TargetId} from '@marigoldpost/common';
import type {EventLogger} from '@marigoldpost/telemetry';
import type {DispatchLoop} from '../dispatch/dispatch_loop.js';

/** Receivers of the changes. */
export interface TargetUpdateHandlerOptions {
  readonly dispatchLoop: DispatchLoop;
  readonly quarantine: Quarantine;
  readonly logger: EventLogger;
  /** Called after a target's death, so that it is announced to the fleet. */
  readonly onQuarantineChanged: () => void;
}

/** Target registry listener that updates the scheduler and the quarantine. */
export class TargetUpdateHandler implements TargetListener {
  private readonly states = new Map<TargetId, string>();

  private constructor(private readonly options: TargetUpdateHandlerOptions) {}

  /**
   * Creates a handler; add it to a target registry as a listener.
   * @param options - Receivers of the changes.
   */
  static create(options: TargetUpdateHandlerOptions): TargetUpdateHandler {
    return new TargetUpdateHandler(options);
  }

  onTargetsChanged(targets: readonly TargetView[]): void {
    this.options.dispatchLoop.setTargets(targets);
    for (const {id, state} of targets) this.logState(id, state);
  }

  onLoad(target: TargetId, load: EngineLoad): void {
    this.options.dispatchLoop.updateLoad(target, load);
  }

  onCacheEvents(target: TargetId, events: readonly CacheEvent[]): void {
    this.options.dispatchLoop.applyCacheEvents(target, events);
  }

  onTargetDied({target, fingerprints}: TargetDeath): void {
    const {quarantine, logger} = this.options;
    logger.log('target_died', {target, requests: fingerprints.length});
    quarantine.recordDeath(target, fingerprints);
    for (const fingerprint of fingerprints) {
      if (!quarantine.isQuarantined(fingerprint)) continue;
      const deaths = quarantine.getEntry(fingerprint)?.deaths.length ?? 0;
      logger.log('request_quarantined', {fingerprint, deaths});
    }
    this.options.onQuarantineChanged();
  }

  private logState(target: TargetId, to: string): void {
    const from = this.states.get(target) ?? 'unknown';
    if (from === to) return;
    this.states.set(target, to);
    this.options.logger.log('target_changed', {target, from, to});
  }
}
