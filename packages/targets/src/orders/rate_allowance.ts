/** A rate that may be used up in a burst of one minute's share. */
import type {Clock} from '@marigoldpost/common';

/** Options of an allowance. */
export interface RateAllowanceOptions {
  readonly clock: Clock;
  /** Uses a minute, and most that can be saved up. */
  readonly perMinute: number;
}

const millisecondsPerMinute = 60_000;

/** Token bucket over a clock. */
export class RateAllowance {
  private balance: number;
  private updatedAtMs: number;

  private constructor(private readonly options: RateAllowanceOptions) {
    this.balance = options.perMinute;
    this.updatedAtMs = options.clock.nowMs();
  }

  /**
   * Creates a full allowance.
   * @param options - Clock and rate.
   */
  static create(options: RateAllowanceOptions): RateAllowance {
    return new RateAllowance(options);
  }

  /** Takes one use; gets 0, or the wait until one is free in milliseconds. */
  take(): number {
    this.update();
    if (this.balance >= 1) {
      this.balance -= 1;
      return 0;
    }
    const {perMinute} = this.options;
    return ((1 - this.balance) * millisecondsPerMinute) / perMinute;
  }

  private update(): void {
    const nowMs = this.options.clock.nowMs();
    const {perMinute} = this.options;
    const earned =
      ((nowMs - this.updatedAtMs) * perMinute) / millisecondsPerMinute;
    this.balance = Math.min(perMinute, this.balance + earned);
    this.updatedAtMs = nowMs;
  }
}
