/** Rate limiter of a stand-in server. */
import {type Clock, SystemClock} from '@marigoldpost/common';

const millisecondsPerSecond = 1000;

/** Token bucket with the capacity of one second, but at least one call. */
export class RateLimiter {
  private readonly capacity: number;
  private tokens: number;
  private updatedAtMs: number;

  private constructor(
    private readonly perSecond: number,
    private readonly clock: Clock,
  ) {
    this.capacity = perSecond === 0 ? 0 : Math.max(1, perSecond);
    this.tokens = this.capacity;
    this.updatedAtMs = clock.nowMs();
  }

  /**
   * Creates a full bucket.
   * @param perSecond - Calls per second; default: unlimited.
   * @param clock - Source of time; default: the system clock.
   */
  static create(
    perSecond = Infinity,
    clock: Clock = SystemClock.create(),
  ): RateLimiter {
    return new RateLimiter(perSecond, clock);
  }

  /** Consumes the token of one call; `false` if the rate is exceeded. */
  tryConsume(): boolean {
    if (this.perSecond === Infinity) return true;
    const nowMs = this.clock.nowMs();
    const elapsedMs = nowMs - this.updatedAtMs;
    this.updatedAtMs = nowMs;
    const earned = (elapsedMs * this.perSecond) / millisecondsPerSecond;
    this.tokens = Math.min(this.capacity, this.tokens + earned);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
