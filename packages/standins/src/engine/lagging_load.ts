/** A load report that readers see late. */
import type {Clock} from '@marigoldpost/common';
import type {EngineLoad} from '@marigoldpost/targets';

interface Sample {
  readonly atMs: number;
  readonly load: EngineLoad;
}

/** History of an engine's load, read with a lag. */
export class LaggingLoad {
  private samples: Sample[];

  private constructor(
    private readonly clock: Clock,
    private readonly lagMs: number,
    first: EngineLoad,
  ) {
    this.samples = [{atMs: clock.nowMs(), load: first}];
  }

  /**
   * Creates a report.
   * @param clock - Source of time.
   * @param lagMs - Age of what readers see, in milliseconds.
   * @param first - Load at the start.
   */
  static create(clock: Clock, lagMs: number, first: EngineLoad): LaggingLoad {
    return new LaggingLoad(clock, lagMs, first);
  }

  /**
   * Notes the load of this moment.
   * @param load - The load.
   */
  setLoad(load: EngineLoad): void {
    this.samples.push({atMs: this.clock.nowMs(), load});
    this.removeOld();
  }

  /** Gets the load as it was one lag ago. */
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
