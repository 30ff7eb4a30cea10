/** Token bucket that refills at the granted rate. */

const msPerSecond = 1000;

/** Bucket with a capacity of one second's worth, and of at least one unit. */
export class TokenBucket {
  private ratePerSecond = 0;
  private validUntilMs = Number.NEGATIVE_INFINITY;
  private level = 0;

  private constructor(private refilledAtMs: number) {}

  /**
   * Creates an empty bucket without a rate.
   * @param nowMs - Time on the daemon's clock.
   */
  static create(nowMs: number): TokenBucket {
    return new TokenBucket(nowMs);
  }

  /**
   * Adds the units that accrued since the last call. Once the grant has expired
   * the bucket is empty, since another holder may have been granted the rate.
   * @param nowMs - Time on the daemon's clock.
   */
  refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
    this.refilledAtMs = nowMs;
    if (nowMs >= this.validUntilMs) this.ratePerSecond = 0;
    this.level += (this.ratePerSecond * elapsedMs) / msPerSecond;
    this.level = Math.min(this.level, this.getCapacity());
  }

  /**
   * Changes the rate; the saved units are cut to the new capacity.
   * @param nowMs - Time on the daemon's clock.
   * @param ratePerSecond - Units per second.
   * @param validUntilMs - Time at which the grant of the rate expires.
   */
  setRate(nowMs: number, ratePerSecond: number, validUntilMs: number): void {
    this.refill(nowMs);
    this.ratePerSecond = ratePerSecond;
    this.validUntilMs = validUntilMs;
    this.level = Math.min(this.level, this.getCapacity());
  }

  /**
   * Takes units; false if there are too few.
   * @param cost - Units to take. A cost above the capacity needs a full bucket,
   *   and leaves the level negative.
   */
  tryTake(cost: number): boolean {
    const capacity = this.getCapacity();
    if (capacity === 0 || this.level < Math.min(cost, capacity)) return false;
    this.level -= cost;
    return true;
  }

  /**
   * Puts back units that were taken but not used.
   * @param cost - Units to put back, up to the capacity.
   */
  refund(cost: number): void {
    this.level = Math.min(this.level + cost, this.getCapacity());
  }

  /**
   * Gets the time until a cost can be taken, in milliseconds; infinite without
   * a rate.
   * @param cost - Units to take.
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
