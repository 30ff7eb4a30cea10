/** Polls the load and the cache events of one engine. */
import {
  type Clock,
  getHashNumber,
  type TargetId,
  type Timer,
} from '@marigoldpost/common';
import type {
  CacheEvent,
  EngineClient,
  EngineLoad,
} from '../engine/engine_client.js';

/** Engine, interval and callbacks of a poller. */
export interface EnginePollerOptions {
  readonly target: TargetId;
  readonly engine: EngineClient;
  readonly clock: Clock;
  /** Time between two polls, in milliseconds. */
  readonly intervalMs: number;
  readonly onLoad: (load: EngineLoad) => void;
  readonly onCacheEvents: (events: readonly CacheEvent[]) => void;
  readonly onFailure: (error: unknown) => void;
}

/**
 * Polls one engine until stopped. The first poll is delayed by a hash of the
 * target's id, so that polls of different engines are spread over time.
 */
export class EnginePoller {
  private timer: Timer | undefined;
  private isStopped = false;
  private hasFailedSinceRead = false;
  private lastSequence = 0;

  private constructor(private readonly options: EnginePollerOptions) {}

  /**
   * Creates a poller and schedules its first poll.
   * @param options - Engine, interval and callbacks.
   */
  static create(options: EnginePollerOptions): EnginePoller {
    const poller = new EnginePoller(options);
    poller.schedule(getHashNumber(options.target) % options.intervalMs);
    return poller;
  }

  /** Stops polling; the result of a poll in progress is ignored. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  private schedule(delayMs: number): void {
    if (this.isStopped) return;
    this.timer = this.options.clock.setTimer(delayMs, () => void this.poll());
  }

  private async poll(): Promise<void> {
    const {engine, intervalMs, onFailure} = this.options;
    try {
      const load = await engine.getLoad();
      if (this.isStopped) return;
      this.options.onLoad(load);
      await this.pollCacheEvents();
    } catch (error) {
      this.hasFailedSinceRead = true;
      if (!this.isStopped) onFailure(error);
    }
    this.schedule(intervalMs);
  }

  private async pollCacheEvents(): Promise<void> {
    // An engine that was unavailable may have restarted with an empty cache.
    if (this.hasFailedSinceRead) this.reportRestart();
    const {engine, onCacheEvents} = this.options;
    const page = await engine.getCacheEvents(this.lastSequence);
    if (this.isStopped) return;
    const last = page.events.at(-1)?.sequence ?? 0;
    // Events below the floor are lost; the sequence numbers show the gap.
    const floor = page.floorSequence - 1;
    this.lastSequence = Math.max(this.lastSequence, last, floor);
    if (page.events.length > 0) onCacheEvents(page.events);
  }

  private reportRestart(): void {
    this.hasFailedSinceRead = false;
    this.lastSequence = 0;
    const cleared = {sequence: 0, kind: 'cleared', blockHashes: []} as const;
    this.options.onCacheEvents([cleared]);
  }
}
