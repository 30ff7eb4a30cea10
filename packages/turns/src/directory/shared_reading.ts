/** Lets calls that come together share one reading of the object API. */
import type {Clock} from '@marigoldpost/common';

/** Clock, pacing and source of a reading. */
export interface SharedReadingOptions<Result> {
  readonly clock: Clock;
  /** Gets the least pause between the starts of two readings. */
  readonly getIntervalMs: () => number;
  readonly read: () => Promise<Result>;
}

/** Starts a reading after each call; calls that wait for the same one share it. */
export class SharedReading<Result> {
  /** Reading that has not started yet. */
  private waiting: Promise<Result> | undefined;
  private nextStartMs = Number.NEGATIVE_INFINITY;
  /** End of the reading that has started. */
  private running: Promise<unknown> = Promise.resolve();

  private constructor(private readonly options: SharedReadingOptions<Result>) {}

  /**
   * Creates a reading that has not started.
   * @param options - Clock, pacing and source.
   */
  static create<Result>(
    options: SharedReadingOptions<Result>,
  ): SharedReading<Result> {
    return new SharedReading(options);
  }

  /** Gets the result of a reading that starts after this call. */
  read(): Promise<Result> {
    this.waiting ??= this.startWhenDue();
    return this.waiting;
  }

  private async startWhenDue(): Promise<Result> {
    const {clock, getIntervalMs, read} = this.options;
    await this.running;
    const pauseMs = this.nextStartMs - clock.nowMs();
    if (pauseMs > 0) await clock.sleep(pauseMs);
    this.nextStartMs = clock.nowMs() + getIntervalMs();
    this.waiting = undefined;
    const reading = read();
    this.running = reading.catch(() => undefined);
    return reading;
  }
}
