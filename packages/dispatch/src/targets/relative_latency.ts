/**
 * Latency of a target relative to its peers. Load pattern: for seconds at a
 * time, some targets of a service take several times as long as the others.
 */

/** Weight of a new sample; the average spans about the last seven samples. */
const sampleWeight = 0.25;
/** Time without samples after which the ratio is back to 1. */
const sampleExpiryMs = 3000;
/** Limit on one sample, so that an outlier does not dominate the average. */
const maxRatio = 20;

/** Moving average of a duration over all targets of a service. */
export class MeanDuration {
  private meanMs: number | undefined;

  private constructor() {}

  /** Creates a mean without samples. */
  static create(): MeanDuration {
    return new MeanDuration();
  }

  /** Mean in milliseconds; undefined before the first sample. */
  get valueMs(): number | undefined {
    return this.meanMs;
  }

  /**
   * Adds a sample.
   * @param durationMs - Measured duration.
   */
  add(durationMs: number): void {
    this.meanMs ??= durationMs;
    // Adapts more slowly than RelativeLatency, so that slow targets stand out.
    this.meanMs += (durationMs - this.meanMs) * (sampleWeight / 8);
  }
}

/**
 * Moving average of one target's latency divided by the mean over all targets:
 * 1 is as fast as its peers, 5 takes five times as long.
 */
export class RelativeLatency {
  private ratio = 1;
  private sampledAtMs = 0;

  private constructor() {}

  /** Creates a ratio of 1, without samples. */
  static create(): RelativeLatency {
    return new RelativeLatency();
  }

  /**
   * Adds a sample.
   * @param durationMs - Duration at this target.
   * @param meanMs - Mean duration over all targets.
   * @param nowMs - Time on the daemon's clock.
   */
  add(durationMs: number, meanMs: number, nowMs: number): void {
    if (meanMs <= 0) return;
    const sample = Math.min(maxRatio, durationMs / meanMs);
    this.ratio = this.getRatio(nowMs);
    this.ratio += (sample - this.ratio) * sampleWeight;
    this.sampledAtMs = nowMs;
  }

  /**
   * Gets the ratio, which decays linearly to 1 as the last sample ages.
   * @param nowMs - Time on the daemon's clock.
   */
  getRatio(nowMs: number): number {
    const age = Math.min(1, (nowMs - this.sampledAtMs) / sampleExpiryMs);
    return this.ratio + (1 - this.ratio) * age;
  }
}
