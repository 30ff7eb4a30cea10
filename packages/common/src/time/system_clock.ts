/** The machine's own clock. */
import {performance} from 'node:perf_hooks';
import {Clock, type Timer} from './clock.js';

/** Clock of the running process. */
export class SystemClock extends Clock {
  /** Creates a clock. */
  static create(): SystemClock {
    return new SystemClock();
  }

  override nowMs(): number {
    return performance.now();
  }

  override wallTimeMs(): number {
    return Date.now();
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    const timeout = setTimeout(callback, delayMs);
    return {cancel: () => clearTimeout(timeout)};
  }
}
