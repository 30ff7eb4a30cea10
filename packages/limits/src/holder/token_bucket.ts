/** Units that come at a rate and may be saved up for a second. */

const msPerSecond = 1000;

/** Bucket that holds at most one second's worth. */
export class TokenBucket {
  private ratePerSecond = 0;
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
   * Adds what has come since the last call; empties a bucket whose grant ended.
   * @param nowMs - Now.
   * @param expiresAtMs - When the grant of the rate ends.
   */
  refill(nowMs: number, expiresAtMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    this.updatedMs = nowMs;
    if (nowMs >= expiresAtMs) this.setRate(0);
    this.level += (this.ratePerSecond * elapsedMs) / msPerSecond;
    this.level = Math.min(this.level, this.getCapacity());
  }

  /**
   * Changes the rate; what is saved up shrinks to the new rate's worth.
   * @param ratePerSecond - Units a second.
   */
  setRate(ratePerSecond: number): void {
    this.ratePerSecond = ratePerSecond;
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
    const missing = Math.min(cost, this.getCapacity()) - this.level;
    if (missing <= 0) return 0;
    return (missing * msPerSecond) / this.ratePerSecond;
  }

  private getCapacity(): number {
    if (this.ratePerSecond === 0) return 0;
    return Math.max(1, this.ratePerSecond);
  }
}
