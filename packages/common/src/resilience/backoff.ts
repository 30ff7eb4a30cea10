/** Delays between retries: exponential backoff with full jitter. */
import type {Random} from '../random/random.js';

/** Bounds of the delays. */
export interface BackoffOptions {
  /** Upper bound of the first delay, in milliseconds; it doubles each time. */
  readonly baseMs: number;
  /** Upper bound of every delay, in milliseconds. */
  readonly maxMs: number;
}

/** Delays of one series of retries. */
export class Backoff {
  private attempts = 0;

  private constructor(
    private readonly options: BackoffOptions,
    private readonly random: Random,
  ) {}

  /**
   * Creates a backoff at its first delay.
   * @param options - Bounds of the delays.
   * @param random - Source of the jitter.
   */
  static create(options: BackoffOptions, random: Random): Backoff {
    return new Backoff(options, random);
  }

  /** Draws the next delay, in milliseconds, and raises its upper bound. */
  nextDelayMs(): number {
    const {baseMs, maxMs} = this.options;
    const ceilingMs = Math.min(maxMs, baseMs * 2 ** this.attempts);
    this.attempts += 1;
    return ceilingMs * this.random.next();
  }

  /** Returns to the first delay; call it after a success. */
  reset(): void {
    this.attempts = 0;
  }
}
