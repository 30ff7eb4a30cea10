/** Clock that simulates a paused process. */
import {Clock, type Timer} from '@marigoldpost/common';

/**
 * Clock on top of another clock. While it is paused, time advances but no timer
 * fires; timers that expired during the pause fire when it ends.
 */
export class PausableClock extends Clock {
  private held: Array<() => void> = [];
  private isPaused = false;

  private constructor(private readonly inner: Clock) {
    super();
  }

  /**
   * Creates a clock that is not paused.
   * @param inner - Source of time and timers.
   */
  static create(inner: Clock): PausableClock {
    return new PausableClock(inner);
  }

  /**
   * Pauses or resumes the clock's timers.
   * @param isPaused - Whether expired timers are deferred.
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
