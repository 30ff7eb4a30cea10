/** Time as the project's code sees it: passed in, never read from globals. */

/** A timer that can be stopped before it fires. */
export interface Timer {
  /** Stops the timer; a fired or stopped timer is left alone. */
  cancel(): void;
}

/** Source of time and timers. */
export abstract class Clock {
  /** Gets monotonic time in milliseconds; only differences have a meaning. */
  abstract nowMs(): number;

  /** Gets wall time in milliseconds since 1970, for records people read. */
  abstract wallTimeMs(): number;

  /**
   * Runs a callback once.
   * @param delayMs - Wait before the callback, in milliseconds.
   * @param callback - Must not throw.
   */
  abstract setTimer(delayMs: number, callback: () => void): Timer;

  /**
   * Waits.
   * @param delayMs - Length of the wait, in milliseconds.
   * @param signal - Ends the wait early, with the signal's reason thrown.
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
