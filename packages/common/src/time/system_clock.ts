/** Clock that reads the system time. */
import {performance} from 'node:perf_hooks';
import {Clock, maxTimerDelayMs, type Timer} from './clock.js';

/** Clock of the running process; its timers are `setTimeout` timers. */
export class SystemClock extends Clock {
  /** Creates a clock; all instances read the same time. */
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
    let immediate: NodeJS.Immediate | undefined;
    const timeout = setTimeout(
      () => {
        // After a stall of the event loop, what has arrived is read first.
        immediate = setImmediate(callback);
      },
      Math.min(delayMs, maxTimerDelayMs),
    );
    return {
      cancel: () => {
        clearTimeout(timeout);
        clearImmediate(immediate);
      },
    };
  }
}
