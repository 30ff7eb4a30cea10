/** FIFO queue of requests that wait for a permit of a limit. */
import {
  type Clock,
  Deferred,
  MarigoldpostError,
  type Timer,
} from '@marigoldpost/common';
import type {LimitId} from '../names/limit_id.js';

const maxWaiters = 10_000;
const defaultRetryAfterMs = 1000;

/** Limit, clock and wait bounds of a queue. */
export interface PermitQueueOptions {
  readonly limit: LimitId;
  readonly clock: Clock;
  /** Maximum wait, in milliseconds. */
  readonly maxWaitMs: number;
  /** Gets the delay after which a refused caller may retry; 0 if unknown. */
  readonly getRetryAfterMs: () => number;
}

interface Waiter<Permit> {
  readonly cost: number;
  readonly granted: Deferred<Permit>;
}

/** FIFO queue; a request with a high cost blocks those behind it. */
export class PermitQueue<Permit> {
  private readonly waiters: Waiter<Permit>[] = [];

  private constructor(private readonly options: PermitQueueOptions) {}

  /**
   * Creates an empty queue.
   * @param options - Limit, clock and wait bounds.
   */
  static create<Permit>(options: PermitQueueOptions): PermitQueue<Permit> {
    return new PermitQueue(options);
  }

  /** Number of queued requests. */
  get size(): number {
    return this.waiters.length;
  }

  /** Gets the total cost of the queued requests. */
  getTotalCost(): number {
    return this.waiters.reduce((total, {cost}) => total + cost, 0);
  }

  /** Gets the cost of the first queued request; 0 if the queue is empty. */
  getFirstCost(): number {
    return this.waiters[0]?.cost ?? 0;
  }

  /**
   * Waits for a permit; throws `limit_reached` or `cancelled`.
   * @param cost - Units that the request needs.
   * @param signal - Aborts the wait.
   */
  async wait(cost: number, signal?: AbortSignal): Promise<Permit> {
    if (signal?.aborted) throw this.createCancelledError();
    if (this.waiters.length >= maxWaiters) throw this.createLimitReachedError();
    const waiter = {cost, granted: Deferred.create<Permit>()};
    this.waiters.push(waiter);
    const timer = this.startTimer(waiter);
    const onAbort = () => this.reject(waiter, this.createCancelledError());
    signal?.addEventListener('abort', onAbort, {once: true});
    try {
      return await waiter.granted.promise;
    } finally {
      timer.cancel();
      signal?.removeEventListener('abort', onAbort);
    }
  }

  /**
   * Grants permits in queue order until one is refused.
   * @param tryTake - Takes a permit for a cost; undefined refuses it.
   */
  serve(tryTake: (cost: number) => Permit | undefined): void {
    for (;;) {
      const first = this.waiters[0];
      const permit = first && tryTake(first.cost);
      if (first === undefined || permit === undefined) return;
      this.waiters.shift();
      first.granted.resolve(permit);
    }
  }

  private startTimer(waiter: Waiter<Permit>): Timer {
    return this.options.clock.setTimer(this.options.maxWaitMs, () =>
      this.reject(waiter, this.createLimitReachedError()),
    );
  }

  private reject(waiter: Waiter<Permit>, error: MarigoldpostError): void {
    const index = this.waiters.indexOf(waiter);
    if (index < 0) return;
    this.waiters.splice(index, 1);
    waiter.granted.reject(error);
  }

  private createLimitReachedError(): MarigoldpostError {
    const retryAfterMs = this.options.getRetryAfterMs() || defaultRetryAfterMs;
    const message = `limit "${this.options.limit}" is reached`;
    return MarigoldpostError.create('limit_reached', message, {retryAfterMs});
  }

  private createCancelledError(): MarigoldpostError {
    const message = `caller aborted the wait for limit "${this.options.limit}"`;
    const outcome = 'not_run';
    return MarigoldpostError.create('cancelled', message, {outcome});
  }
}
