/** Calls in flight at an in-memory target, with timeout and cancellation. */
import {type Clock, Deferred, type TargetId} from '@marigoldpost/common';
import {
  createCancelled,
  createLost,
  createTimeout,
} from './target_fault_errors.js';

/** Target, clock and timeout of the calls. */
export interface InFlightCallsOptions {
  readonly target: TargetId;
  readonly clock: Clock;
  /** Timeout of the client, in milliseconds. */
  readonly timeoutMs: number;
}

/** Calls in flight at one target; the end of its process fails them. */
export class InFlightCalls {
  private readonly calls = new Set<Deferred<never>>();

  private constructor(private readonly options: InFlightCallsOptions) {}

  /**
   * Creates an instance without calls.
   * @param options - Target, clock and timeout.
   */
  static create(options: InFlightCallsOptions): InFlightCalls {
    return new InFlightCalls(options);
  }

  /**
   * Waits for the response of a call. Throws `target_failed` if the target's
   * process ends first, `target_timeout` after the timeout and `cancelled` if
   * the caller aborts.
   * @param response - Response to wait for.
   * @param signal - Aborts the wait.
   */
  async waitFor<Value>(
    response: Promise<Value>,
    signal?: AbortSignal,
  ): Promise<Value> {
    const {target, clock, timeoutMs} = this.options;
    const end = Deferred.create<never>();
    const onAbort = () => end.reject(createCancelled(target));
    if (signal?.aborted) onAbort();
    signal?.addEventListener('abort', onAbort, {once: true});
    const timer = clock.setTimer(timeoutMs, () =>
      end.reject(createTimeout(target)),
    );
    this.calls.add(end);
    try {
      return await Promise.race([response, end.promise]);
    } finally {
      this.calls.delete(end);
      timer.cancel();
      signal?.removeEventListener('abort', onAbort);
    }
  }

  /** Fails every call in flight, as a lost connection does. */
  failAll(): void {
    for (const end of this.calls) end.reject(createLost(this.options.target));
  }
}
