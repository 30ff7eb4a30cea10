/** Distribution of the pauses between the calls of a program. */

const bucketCount = 24;
const firstBucketMs = 250;
const bucketGrowth = 1.6;
/** Number of assumed pauses, spread evenly over the buckets as a prior. */
const priorPauses = 2;
/** Number of pauses after which the weight of an older one has halved. */
const halfLifePauses = 5_000;
const decay = 0.5 ** (1 / halfLifePauses);

/** Decaying histogram of pauses, with exponentially growing buckets. */
export class PauseStatistics {
  private readonly returned = new Float64Array(bucketCount);
  private readonly ended = new Float64Array(bucketCount);
  /** Weight of a new pause; growing it replaces decaying every bucket. */
  private weight = 1;

  private constructor() {}

  /** Creates empty statistics. */
  static create(): PauseStatistics {
    return new PauseStatistics();
  }

  /**
   * Adds a completed pause.
   * @param pauseMs - Duration of the pause.
   * @param didReturn - Whether a call ended it; false for the program's end.
   */
  addPause(pauseMs: number, didReturn: boolean): void {
    const counts = didReturn ? this.returned : this.ended;
    const bucket = getBucket(pauseMs);
    counts[bucket] = getCount(counts, bucket) + this.weight;
    this.weight /= decay;
    if (this.weight > 1e9) this.rescale();
  }

  /**
   * Gets the hold time with the greatest expected gain; 0 if none gains.
   * @param minReturnsPerMs - Returns that one millisecond of holding must
   *     bring.
   */
  getHoldMs(minReturnsPerMs: number): number {
    let remaining = this.countPauses() + priorPauses;
    let gain = 0;
    let bestGain = 0;
    let holdMs = 0;
    for (let bucket = 0; bucket < bucketCount; bucket += 1) {
      const returns = this.getReturns(bucket);
      const finished = returns + getCount(this.ended, bucket) / this.weight;
      const heldMs = (remaining - finished / 2) * getWidthMs(bucket);
      gain += returns - heldMs * minReturnsPerMs;
      remaining -= finished;
      if (gain <= bestGain) continue;
      bestGain = gain;
      holdMs = getEndMs(bucket);
    }
    return holdMs;
  }

  private getReturns(bucket: number): number {
    const seen = getCount(this.returned, bucket) / this.weight;
    return seen + priorPauses / bucketCount;
  }

  private countPauses(): number {
    let sum = 0;
    for (const count of this.returned) sum += count;
    for (const count of this.ended) sum += count;
    return sum / this.weight;
  }

  private rescale(): void {
    for (const counts of [this.returned, this.ended]) {
      counts.forEach((count, bucket) => {
        counts[bucket] = count / this.weight;
      });
    }
    this.weight = 1;
  }
}

function getCount(counts: Float64Array, bucket: number): number {
  return counts[bucket] ?? 0;
}

function getBucket(pauseMs: number): number {
  if (pauseMs < firstBucketMs) return 0;
  const bucket = Math.log(pauseMs / firstBucketMs) / Math.log(bucketGrowth);
  return Math.min(bucketCount - 1, 1 + Math.floor(bucket));
}

function getWidthMs(bucket: number): number {
  const startMs = bucket === 0 ? 0 : getEndMs(bucket - 1);
  return getEndMs(bucket) - startMs;
}

function getEndMs(bucket: number): number {
  return firstBucketMs * bucketGrowth ** bucket;
}
