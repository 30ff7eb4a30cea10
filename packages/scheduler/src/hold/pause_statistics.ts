/** How long programs pause, learnt from the pauses that were seen. */

const bucketCount = 24;
const firstBucketMs = 250;
const bucketGrowth = 1.6;
/** Pauses taken for granted, spread evenly over the buckets. */
const priorPauses = 2;
/** Pauses whose weight halves the weight of all before them. */
const halfLifePauses = 5_000;
const decay = 0.5 ** (1 / halfLifePauses);

/** Histogram of pauses over buckets that grow by a constant factor. */
export class PauseStatistics {
  private readonly returned = new Float64Array(bucketCount);
  private readonly ended = new Float64Array(bucketCount);
  /** Weight of a new pause; grows in place of a decay of all buckets. */
  private weight = 1;

  private constructor() {}

  /** Creates empty statistics. */
  static create(): PauseStatistics {
    return new PauseStatistics();
  }

  /**
   * Adds a pause that is over.
   * @param pauseMs - Its length, in milliseconds.
   * @param didReturn - Whether a call ended it, not the program's end.
   */
  addPause(pauseMs: number, didReturn: boolean): void {
    const counts = didReturn ? this.returned : this.ended;
    const bucket = getBucket(pauseMs);
    counts[bucket] = getCount(counts, bucket) + this.weight;
    this.weight /= decay;
    if (this.weight > 1e9) this.rescale();
  }

  /**
   * Gets the hold with the greatest expected gain.
   * @param priceReturnsPerMs - Returns that one millisecond of holding must
   *     bring.
   */
  getHoldMs(priceReturnsPerMs: number): number {
    let present = this.countPauses() + priorPauses;
    let gain = 0;
    let bestGain = 0;
    let holdMs = 0;
    for (let bucket = 0; bucket < bucketCount; bucket += 1) {
      const returns = this.getReturns(bucket);
      const leaving = returns + getCount(this.ended, bucket) / this.weight;
      const heldMs = (present - leaving / 2) * getWidthMs(bucket);
      gain += returns - heldMs * priceReturnsPerMs;
      present -= leaving;
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
