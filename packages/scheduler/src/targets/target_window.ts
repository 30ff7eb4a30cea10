/**
 * Window of calls in flight at one target. An engine admits in order of
 * arrival, so a call keeps its rank only while it waits here; too small a
 * window idles the engine. The window grows while calls wait here and the
 * engine reports few waiting, and shrinks when it reports more.
 */

/** Bounds of a window. */
export interface WindowOptions {
  readonly initial: number;
  readonly min: number;
  readonly max: number;
}

const shrinkFactor = 0.9;

/** Share of the running calls that may wait, so that no place stays empty. */
const waitingShare = 0.25;

/** Additive increase, multiplicative decrease by the target's reports. */
export class TargetWindow {
  private limit: number;
  private isUsedUp = false;

  private constructor(private readonly options: WindowOptions) {
    this.limit = options.initial;
  }

  /**
   * Creates a window.
   * @param options - Its bounds.
   */
  static create(options: WindowOptions): TargetWindow {
    return new TargetWindow(options);
  }

  /** Most calls in flight. */
  get size(): number {
    return Math.floor(this.limit);
  }

  /** Notes that a call could not go because the window was full. */
  noteUsedUp(): void {
    this.isUsedUp = true;
  }

  /**
   * Adjusts the window.
   * @param running - Calls that the target reports as running.
   * @param waiting - Calls that it reports as waiting.
   */
  noteReport(running: number, waiting: number): void {
    const {min, max} = this.options;
    const isOverfull = waiting > Math.max(1, waitingShare * running);
    if (isOverfull) this.limit = Math.max(min, this.limit * shrinkFactor);
    else if (this.isUsedUp) this.limit = Math.min(max, this.limit + 1);
    this.isUsedUp = false;
  }
}
