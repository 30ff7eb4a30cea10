/** Waits between tries: exponential, with full jitter. */
import type {Random} from '../random/random.js';

/** Bounds of the waits. */
export interface BackoffOptions {
  /** Upper bound of the first wait, in milliseconds. */
  readonly baseMs: number;
  /** Upper bound of any wait, in milliseconds. */
  readonly maxMs: number;
}

/** Waits of one series of tries. */
export class Backoff {
  private tries = 0;

  private constructor(
    private readonly options: BackoffOptions,
    private readonly random: Random,
  ) {}

  /**
   * Creates a series.
   * @param options - Bounds of the waits.
   * @param random - Source of the jitter.
   */
  static create(options: BackoffOptions, random: Random): Backoff {
    return new Backoff(options, random);
  }

  /** Gets the next wait, in milliseconds. */
  nextDelayMs(): number {
    const {baseMs, maxMs} = this.options;
    const ceilingMs = Math.min(maxMs, baseMs * 2 ** this.tries);
    this.tries += 1;
    return ceilingMs * this.random.next();
  }

  /** Starts the series again after a success. */
  reset(): void {
    this.tries = 0;
  }
}
