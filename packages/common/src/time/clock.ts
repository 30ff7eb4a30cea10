/** Injected clock; code does not read the time from globals. */

/**
 * Longest delay of a timer, about 25 days; Node.js replaces longer ones by 1 ms.
 */
export const maxTimerDelayMs = 2 ** 31 - 1;

/** A timer that can be cancelled before it fires. */
export interface Timer {
  /** Cancels the timer; no effect once it has fired or was cancelled. */
  cancel(): void;
}

/** Source of time and timers. */
export abstract class Clock {
  /** Gets monotonic time in milliseconds; only differences are meaningful. */
  abstract nowMs(): number;

  /** Gets wall-clock time in ms since 1970, for records that people read. */
  abstract wallTimeMs(): number;

  /**
   * Schedules a callback to run once. Data that arrived before the callback runs
   * is read first, so that a stall of the process does not look like the silence
   * of a peer.
   * @param delayMs - Delay before the callback, in milliseconds.
   * @param callback - Must not throw.
   */
  abstract setTimer(delayMs: number, callback: () => void): Timer;

  /**
   * Resolves after a delay.
   * @param delayMs - Delay in milliseconds.
   * @param signal - Its abort rejects the promise with the abort reason.
   */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(toReason(signal));
        return;
      }
      const onAbort = () => {
        timer.cancel();
        reject(toReason(signal));
      };
      const timer = this.setTimer(delayMs, () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      });
      signal?.addEventListener('abort', onAbort, {once: true});
    });
  }
}

function toReason(signal: AbortSignal | undefined): Error {
  const reason: unknown = signal?.reason;
  return reason instanceof Error ? reason : new Error('aborted');
}
