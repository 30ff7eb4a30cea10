/** Follows the load and the cache events of one engine. */
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

/** What a poller needs. */
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

/** Polls one engine until stopped; polls of engines are spread over time. */
export class EnginePoller {
  private timer: Timer | undefined;
  private isStopped = false;
  private hasFailed = false;
  private lastSequence = 0;

  private constructor(private readonly options: EnginePollerOptions) {}

  /**
   * Creates a poller and schedules its first poll.
   * @param options - The engine and who listens.
   */
  static create(options: EnginePollerOptions): EnginePoller {
    const poller = new EnginePoller(options);
    poller.schedule(getHashNumber(options.target) % options.intervalMs);
    return poller;
  }

  /** Stops polling. */
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
      await this.readCacheEvents();
    } catch (error) {
      this.hasFailed = true;
      if (!this.isStopped) onFailure(error);
    }
    this.schedule(intervalMs);
  }

  private async readCacheEvents(): Promise<void> {
    // An engine that was away may have restarted with an empty cache.
    if (this.hasFailed) this.noteRestart();
    const {engine, onCacheEvents} = this.options;
    const page = await engine.getCacheEvents(this.lastSequence);
    if (this.isStopped) return;
    const last = page.events.at(-1)?.sequence ?? 0;
    // Events below the floor are lost; the numbers show the gap.
    const floor = page.floorSequence - 1;
    this.lastSequence = Math.max(this.lastSequence, last, floor);
    if (page.events.length > 0) onCacheEvents(page.events);
  }

  private noteRestart(): void {
    this.hasFailed = false;
    this.lastSequence = 0;
    const cleared = {sequence: 0, kind: 'cleared', blockHashes: []} as const;
    this.options.onCacheEvents([cleared]);
  }
}
