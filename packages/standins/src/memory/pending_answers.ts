/** Waits of an in-memory target that its death, or their caller, can end. */
import {type Clock, Deferred, type TargetId} from '@marigoldpost/common';
import {createCancelled, createCut, createTimeout} from './target_faults.js';

/** Options of the waits. */
export interface PendingAnswersOptions {
  readonly target: TargetId;
  readonly clock: Clock;
  /** Longest wait; the client times out then, in milliseconds. */
  readonly timeoutMs: number;
}

/** Requests in flight at one target. */
export class PendingAnswers {
  private readonly pending = new Set<Deferred<never>>();

  private constructor(private readonly options: PendingAnswersOptions) {}

  /**
   * Creates an empty set.
   * @param options - The target and its timeout.
   */
  static create(options: PendingAnswersOptions): PendingAnswers {
    return new PendingAnswers(options);
  }

  /**
   * Waits for an answer; throws when the target dies, the time runs out or the
   * caller gives up first.
   * @param answer - What is waited for.
   * @param signal - Gives up.
   */
  async waitFor<Value>(
    answer: Promise<Value>,
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
    this.pending.add(end);
    try {
      return await Promise.race([answer, end.promise]);
    } finally {
      this.pending.delete(end);
      timer.cancel();
      signal?.removeEventListener('abort', onAbort);
    }
  }

  /** Cuts off every request in flight. */
  cutAll(): void {
    for (const end of this.pending) end.reject(createCut(this.options.target));
  }
}
