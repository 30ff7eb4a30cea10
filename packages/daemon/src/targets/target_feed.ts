/** Keeps the scheduler's and the quarantine's view of targets current. */
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

/** Options of a feed. */
export interface TargetFeedOptions {
  readonly dispatchLoop: DispatchLoop;
  readonly quarantine: Quarantine;
  readonly logger: EventLogger;
  /** Called after a death, so that the fleet hears of it. */
  readonly onQuarantineChanged: () => void;
}

/** Listener of a target registry. */
export class TargetFeed implements TargetListener {
  private readonly states = new Map<TargetId, string>();

  private constructor(private readonly options: TargetFeedOptions) {}

  /**
   * Creates a feed.
   * @param options - Who is fed.
   */
  static create(options: TargetFeedOptions): TargetFeed {
    return new TargetFeed(options);
  }

  onTargetsChanged(targets: readonly TargetView[]): void {
    this.options.dispatchLoop.setTargets(targets);
    for (const {id, state} of targets) this.logState(id, state);
  }

  onLoad(target: TargetId, load: EngineLoad): void {
    this.options.dispatchLoop.noteLoad(target, load);
  }

  onCacheEvents(target: TargetId, events: readonly CacheEvent[]): void {
    this.options.dispatchLoop.noteCacheEvents(target, events);
  }

  onTargetDied({target, fingerprints}: TargetDeath): void {
    const {quarantine, logger} = this.options;
    logger.log('target_died', {target, requests: fingerprints.length});
    quarantine.noteDeath(target, fingerprints);
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
