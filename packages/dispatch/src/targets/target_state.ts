/** State that a daemon keeps for one target. */
import type {EngineSettings, TargetEntry} from '@marigoldpost/sites';
import {TargetBacklog} from '../cost/target_backlog.js';
import type {TargetLoad} from '../load/shared_loads.js';
import {PromptCacheEstimate} from './prompt_cache_estimate.js';
import {RelativeLatency} from './relative_latency.js';
import {TargetHealth} from './target_health.js';

/** Limit on one latency, so that an outlier does not dominate the mean. */
const maxLatencyRatio = 10;

/** Health, latency, cache estimate and load of a target. */
export class TargetState {
  readonly health = TargetHealth.create();
  readonly relativeLatency = RelativeLatency.create();
  readonly promptCache: PromptCacheEstimate;
  readonly backlog = TargetBacklog.create();
  /** Number of this daemon's requests that have not ended. */
  inFlight = 0;

  private unreportedSum = 0;
  private unreportedCount = 0;

  private constructor(
    public entry: TargetEntry,
    engine: EngineSettings | undefined,
    /** Random number from 0 to 1 that orders equal targets on this daemon. */
    readonly tieBreak: number,
  ) {
    this.promptCache = PromptCacheEstimate.create(engine?.cacheTokens ?? 0);
  }

  /**
   * Creates the state of a newly registered or restarted target.
   * @param entry - Registry entry of the target.
   * @param engine - Engine configuration; undefined for plain services.
   * @param tieBreak - Random number from 0 to 1 that orders equal targets.
   */
  static create(
    entry: TargetEntry,
    engine: EngineSettings | undefined,
    tieBreak: number,
  ): TargetState {
    return new TargetState(entry, engine, tieBreak);
  }

  /**
   * Adds a latency for the next report to other daemons.
   * @param latencyMs - Latency of a request.
   * @param meanMs - Mean latency of requests of its kind at all targets.
   */
  addUnreported(latencyMs: number, meanMs: number): void {
    if (meanMs <= 0) return;
    this.unreportedSum += Math.min(maxLatencyRatio, latencyMs / meanMs);
    this.unreportedCount += 1;
  }

  /**
   * Gets what other daemons are to know, and forgets the latencies in it;
   * undefined if there is nothing to tell.
   * @param nowMs - Time on the daemon's clock.
   */
  takeLoad(nowMs: number): TargetLoad | undefined {
    const {entry, inFlight, backlog} = this;
    if (inFlight === 0 && this.unreportedCount === 0) return undefined;
    const load = {
      target: entry.id,
      requests: inFlight,
      workMs: backlog.getRemainingMs(nowMs),
      latencySum: this.unreportedSum,
      latencyCount: this.unreportedCount,
    };
    this.unreportedSum = 0;
    this.unreportedCount = 0;
    return load;
  }
}
