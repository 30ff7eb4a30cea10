/** State that a daemon keeps for one target. */
import type {EngineSettings, TargetEntry} from '@marigoldpost/sites';
import {PromptCacheEstimate} from './prompt_cache_estimate.js';
import {RelativeLatency} from './relative_latency.js';
import {TargetHealth} from './target_health.js';

/** Health, latency, cache estimate and load of a target. */
export class TargetState {
  readonly health = TargetHealth.create();
  readonly relativeLatency = RelativeLatency.create();
  readonly promptCache: PromptCacheEstimate;
  /** Number of this daemon's requests that have not ended. */
  inFlight = 0;

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
}
