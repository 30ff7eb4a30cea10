/** Load report that readers see with a delay. */
import type {Clock} from '@marigoldpost/common';
import type {EngineLoad} from '@marigoldpost/targets';

interface Sample {
  readonly atMs: number;
  readonly load: EngineLoad;
}

/** Recent history of an engine's load, read with a fixed delay. */
export class DelayedLoad {
  private samples: Sample[];

  private constructor(
    private readonly clock: Clock,
    private readonly lagMs: number,
    first: EngineLoad,
  ) {
    this.samples = [{atMs: clock.nowMs(), load: first}];
  }

  /**
   * Creates a history with one sample.
   * @param clock - Source of time.
   * @param lagMs - Age of the load that readers see, in milliseconds.
   * @param first - Load at creation.
   */
  static create(clock: Clock, lagMs: number, first: EngineLoad): DelayedLoad {
    return new DelayedLoad(clock, lagMs, first);
  }

  /**
   * Records the present load.
   * @param load - Load that readers see `lagMs` from now.
   */
  setLoad(load: EngineLoad): void {
    this.samples.push({atMs: this.clock.nowMs(), load});
    this.removeOld();
  }

  /**
   * Gets the load as it was `lagMs` ago, or the first one if there is no sample
   * that old.
   */
  getLoad(): EngineLoad {
    this.removeOld();
    return (this.samples[0] as Sample).load;
  }

  private removeOld(): void {
    const visibleMs = this.clock.nowMs() - this.lagMs;
    let first = 0;
    for (let i = 1; i < this.samples.length; i += 1) {
      if ((this.samples[i] as Sample).atMs > visibleMs) break;
      first = i;
    }
    if (first > 0) this.samples = this.samples.slice(first);
  }
}
