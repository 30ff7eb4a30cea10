/**
 * How slow a target is against its peers. Load pattern: some targets of a
 * service take several times as long as the others, for seconds.
 */

/** Weight of a new sample: about the last seven count. */
const sampleWeight = 0.25;
/** Without samples, a target counts as normal again after this long. */
const forgetMs = 3000;
/** A single odd sample must not move a target far. */
const maxRatio = 20;

/** Mean duration of one kind of work over all targets of a service. */
export class MeanDuration {
  private meanMs: number | undefined;

  private constructor() {}

  /** Creates a mean without samples. */
  static create(): MeanDuration {
    return new MeanDuration();
  }

  /** The mean; nothing before the first sample. */
  get valueMs(): number | undefined {
    return this.meanMs;
  }

  /**
   * Adds a sample.
   * @param durationMs - The sample.
   */
  add(durationMs: number): void {
    this.meanMs ??= durationMs;
    // Slower than the targets' own pace, so that a few slow ones stand out.
    this.meanMs += (durationMs - this.meanMs) * (sampleWeight / 8);
  }
}

/** Pace of one target: 1 is as fast as its peers, 5 takes five times as long. */
export class Pace {
  private ratio = 1;
  private sampledAtMs = 0;

  private constructor() {}

  /** Creates the pace of a target without samples. */
  static create(): Pace {
    return new Pace();
  }

  /**
   * Adds a sample.
   * @param durationMs - How long the work took.
   * @param meanMs - How long it takes over all targets.
   * @param nowMs - Time of the daemon's clock.
   */
  add(durationMs: number, meanMs: number, nowMs: number): void {
    if (meanMs <= 0) return;
    const sample = Math.min(maxRatio, durationMs / meanMs);
    this.ratio = this.getRatio(nowMs);
    this.ratio += (sample - this.ratio) * sampleWeight;
    this.sampledAtMs = nowMs;
  }

  /**
   * Gets the pace; it goes back to 1 as the last sample gets old.
   * @param nowMs - Time of the daemon's clock.
   */
  getRatio(nowMs: number): number {
    const age = Math.min(1, (nowMs - this.sampledAtMs) / forgetMs);
    return this.ratio + (1 - this.ratio) * age;
  }
}
