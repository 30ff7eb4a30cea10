/** Rate limit with a burst of one minute's tokens. */
import type {Clock} from '@marigoldpost/common';

/** Clock and rate of a token bucket. */
export interface TokenBucketOptions {
  readonly clock: Clock;
  /** Tokens added per minute, and capacity of the bucket. */
  readonly perMinute: number;
}

const millisecondsPerMinute = 60_000;

/** Token bucket that is refilled continuously by the time elapsed. */
export class TokenBucket {
  private balance: number;
  private updatedAtMs: number;

  private constructor(private readonly options: TokenBucketOptions) {
    this.balance = options.perMinute;
    this.updatedAtMs = options.clock.nowMs();
  }

  /**
   * Creates a full bucket.
   * @param options - Clock and rate.
   */
  static create(options: TokenBucketOptions): TokenBucket {
    return new TokenBucket(options);
  }

  /**
   * Takes a token and returns 0. If none is available, returns the wait until
   * the next one in milliseconds.
   */
  acquire(): number {
    this.refill();
    if (this.balance >= 1) {
      this.balance -= 1;
      return 0;
    }
    const {perMinute} = this.options;
    return ((1 - this.balance) * millisecondsPerMinute) / perMinute;
  }

  private refill(): void {
    const nowMs = this.options.clock.nowMs();
    const {perMinute} = this.options;
    const refilledTokens =
      ((nowMs - this.updatedAtMs) * perMinute) / millisecondsPerMinute;
    this.balance = Math.min(perMinute, this.balance + refilledTokens);
    this.updatedAtMs = nowMs;
  }
}
