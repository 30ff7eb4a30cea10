/**
 * Window of calls in flight at one target. An engine admits in order of
 * arrival, so calls can be ordered by rank only while they are queued here; but
 * too small a window idles the engine. The window grows while calls are queued
 * here and the engine reports few waiting calls, and shrinks when it reports
 * more.
 */

/** Initial size and bounds of a window, in calls. */
export interface WindowOptions {
  readonly initial: number;
  readonly min: number;
  readonly max: number;
}

const shrinkFactor = 0.9;

/**
 * Maximum ratio of waiting to running calls at a target. Some calls must wait
 * there, so that a batch slot that becomes free is refilled at once.
 */
const maxWaitingShare = 0.25;

/** Window with additive increase and multiplicative decrease (AIMD). */
export class TargetWindow {
  private limit: number;
  private wasFull = false;

  private constructor(private readonly options: WindowOptions) {
    this.limit = options.initial;
  }

  /**
   * Creates a window of the initial size.
   * @param options - Initial size and bounds.
   */
  static create(options: WindowOptions): TargetWindow {
    return new TargetWindow(options);
  }

  /** Maximum number of calls in flight. */
  get size(): number {
    return Math.floor(this.limit);
  }

  /** Records that a call was delayed because the window was full. */
  recordFull(): void {
    this.wasFull = true;
  }

  /**
   * Adjusts the size to a load report of the target.
   * @param running - Number of running calls in the report.
   * @param waiting - Number of waiting calls in the report.
   */
  adjust(running: number, waiting: number): void {
    const {min, max} = this.options;
    const isOverloaded = waiting > Math.max(1, maxWaitingShare * running);
    if (isOverloaded) this.limit = Math.max(min, this.limit * shrinkFactor);
    else if (this.wasFull) this.limit = Math.min(max, this.limit + 1);
    this.wasFull = false;
  }
}
