/** Clock of a process that can be paused. */
import {Clock, type Timer} from '@marigoldpost/common';

/**
 * Clock over another one. While it is paused no timer fires; time goes on, and
 * what fell due meanwhile fires when it goes on.
 */
export class PausableClock extends Clock {
  private held: Array<() => void> = [];
  private isPaused = false;

  private constructor(private readonly inner: Clock) {
    super();
  }

  /**
   * Creates a clock that runs.
   * @param inner - Source of time and timers.
   */
  static create(inner: Clock): PausableClock {
    return new PausableClock(inner);
  }

  /**
   * Pauses the process, or lets it go on.
   * @param isPaused - Whether timers are held back.
   */
  setPaused(isPaused: boolean): void {
    this.isPaused = isPaused;
    if (isPaused) return;
    const due = this.held;
    this.held = [];
    for (const callback of due) callback();
  }

  override nowMs(): number {
    return this.inner.nowMs();
  }

  override wallTimeMs(): number {
    return this.inner.wallTimeMs();
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    let isCancelled = false;
    const fire = () => {
      if (isCancelled) return;
      if (this.isPaused) this.held.push(fire);
      else callback();
    };
    const timer = this.inner.setTimer(delayMs, fire);
    return {
      cancel: () => {
        isCancelled = true;
        timer.cancel();
      },
    };
  }
}
