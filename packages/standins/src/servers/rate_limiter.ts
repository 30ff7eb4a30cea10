/** Rate limit of a stand-in, over the machine's clock. */
import {type Clock, SystemClock} from '@marigoldpost/common';

const millisecondsPerSecond = 1000;

/** Token bucket that holds one second's share, and at least one call. */
export class RateLimiter {
  private readonly capacity: number;
  private balance: number;
  private updatedAtMs: number;

  private constructor(
    private readonly perSecond: number,
    private readonly clock: Clock,
  ) {
    this.capacity = perSecond === 0 ? 0 : Math.max(1, perSecond);
    this.balance = this.capacity;
    this.updatedAtMs = clock.nowMs();
  }

  /**
   * Creates a full bucket.
   * @param perSecond - Rate; unlimited by default.
   * @param clock - Source of time.
   */
  static create(
    perSecond = Infinity,
    clock: Clock = SystemClock.create(),
  ): RateLimiter {
    return new RateLimiter(perSecond, clock);
  }

  /** Takes one call; false when the rate is used up. */
  take(): boolean {
    if (this.perSecond === Infinity) return true;
    const nowMs = this.clock.nowMs();
    const elapsedMs = nowMs - this.updatedAtMs;
    this.updatedAtMs = nowMs;
    const earned = (elapsedMs * this.perSecond) / millisecondsPerSecond;
    this.balance = Math.min(this.capacity, this.balance + earned);
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}
