/** What a daemon knows of one target. */
import type {EngineTerms, TargetEntry} from '@marigoldpost/sites';
import {Pace} from './pace.js';
import {PromptCache} from './prompt_cache.js';
import {TargetHealth} from './target_health.js';

/** Target of a service, with what this daemon has sent to it. */
export class TargetState {
  readonly health = TargetHealth.create();
  readonly pace = Pace.create();
  readonly cache: PromptCache;
  /** Requests of this daemon that have not ended. */
  inFlight = 0;

  private constructor(
    public entry: TargetEntry,
    engine: EngineTerms | undefined,
    /** From 0 to 1: orders targets that are equal, for each daemon anew. */
    readonly rank: number,
  ) {
    this.cache = PromptCache.create(engine?.cacheTokens ?? 0);
  }

  /**
   * Creates the state of a target that has just been listed.
   * @param entry - Its entry.
   * @param engine - Terms of its engine; nothing for plain services.
   * @param rank - From 0 to 1; orders targets that are equal.
   */
  static create(
    entry: TargetEntry,
    engine: EngineTerms | undefined,
    rank: number,
  ): TargetState {
    return new TargetState(entry, engine, rank);
  }
}
