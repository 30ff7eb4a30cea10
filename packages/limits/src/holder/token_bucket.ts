/** Units that come at a granted rate and may be saved up for a second. */

const msPerSecond = 1000;

/** Bucket that holds at most one second's worth. */
export class TokenBucket {
  private ratePerSecond = 0;
  private validUntilMs = Number.NEGATIVE_INFINITY;
  private level = 0;

  private constructor(private updatedMs: number) {}

  /**
   * Creates an empty bucket without a rate.
   * @param nowMs - Now.
   */
  static create(nowMs: number): TokenBucket {
    return new TokenBucket(nowMs);
  }

  /**
   * Adds what has come since the last call. Once the rate's grant has lapsed
   * the bucket is empty: what was saved up belongs to whoever has the rate now.
   * @param nowMs - Now.
   */
  refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    this.updatedMs = nowMs;
    if (nowMs >= this.validUntilMs) this.ratePerSecond = 0;
    this.level += (this.ratePerSecond * elapsedMs) / msPerSecond;
    this.level = Math.min(this.level, this.getCapacity());
  }

  /**
   * Changes the rate; what is saved up shrinks to the new rate's worth.
   * @param nowMs - Now.
   * @param ratePerSecond - Units a second.
   * @param validUntilMs - When the grant of the rate lapses.
   */
  setRate(nowMs: number, ratePerSecond: number, validUntilMs: number): void {
    this.refill(nowMs);
    this.ratePerSecond = ratePerSecond;
    this.validUntilMs = validUntilMs;
    this.level = Math.min(this.level, this.getCapacity());
  }

  /**
   * Takes units; false when there are too few.
   * @param cost - Units; more than the capacity needs a full bucket.
   */
  take(cost: number): boolean {
    const capacity = this.getCapacity();
    if (capacity === 0 || this.level < Math.min(cost, capacity)) return false;
    this.level -= cost;
    return true;
  }

  /**
   * Returns units that were taken but not used.
   * @param cost - Units.
   */
  giveBack(cost: number): void {
    this.level = Math.min(this.level + cost, this.getCapacity());
  }

  /**
   * Gets how long until a cost can be taken, in milliseconds.
   * @param cost - Units.
   */
  getWaitMs(cost: number): number {
    if (this.ratePerSecond === 0) return Number.POSITIVE_INFINITY;
    const missing = Math.min(cost, this.getCapacity()) - this.level;
    return Math.max(0, (missing * msPerSecond) / this.ratePerSecond);
  }

  private getCapacity(): number {
    if (this.ratePerSecond === 0) return 0;
    return Math.max(1, this.ratePerSecond);
  }
}
