/** Requests that wait for a limit, first come first served. */
import {
  type Clock,
  Deferred,
  MarigoldpostError,
  type Timer,
} from '@marigoldpost/common';
import type {LimitId} from '../names/limit_id.js';

const maxWaiting = 10_000;
const defaultRetryMs = 1000;

/** How requests wait. */
export interface WaitingLineOptions {
  readonly limit: LimitId;
  readonly clock: Clock;
  /** Longest wait, in milliseconds. */
  readonly maxWaitMs: number;
  /** Gets when a refused caller should come back; 0 when not known. */
  readonly getRetryAfterMs: () => number;
}

interface Waiter<Permit> {
  readonly cost: number;
  readonly granted: Deferred<Permit>;
}

/** Line of requests with their costs. */
export class WaitingLine<Permit> {
  private readonly waiters: Waiter<Permit>[] = [];

  private constructor(private readonly options: WaitingLineOptions) {}

  /**
   * Creates an empty line.
   * @param options - How requests wait.
   */
  static create<Permit>(options: WaitingLineOptions): WaitingLine<Permit> {
    return new WaitingLine(options);
  }

  /** Number of requests that wait. */
  get size(): number {
    return this.waiters.length;
  }

  /** Gets the cost of all that wait. */
  getTotalCost(): number {
    return this.waiters.reduce((total, {cost}) => total + cost, 0);
  }

  /** Gets the cost of the request that waits first; 0 when none waits. */
  getFirstCost(): number {
    return this.waiters[0]?.cost ?? 0;
  }

  /**
   * Waits for a permit; throws `limit_reached` or `cancelled`.
   * @param cost - What the request takes.
   * @param signal - Gives up.
   */
  async wait(cost: number, signal?: AbortSignal): Promise<Permit> {
    if (signal?.aborted) throw this.createCancelled();
    if (this.waiters.length >= maxWaiting) throw this.createRefusal();
    const waiter = {cost, granted: Deferred.create<Permit>()};
    this.waiters.push(waiter);
    const timer = this.startTimer(waiter);
    const onAbort = () => this.refuse(waiter, this.createCancelled());
    signal?.addEventListener('abort', onAbort, {once: true});
    try {
      return await waiter.granted.promise;
    } finally {
      timer.cancel();
      signal?.removeEventListener('abort', onAbort);
    }
  }

  /**
   * Lets the first requests go while there are permits for them.
   * @param tryTake - Takes a permit for a cost, or nothing.
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
      this.refuse(waiter, this.createRefusal()),
    );
  }

  private refuse(waiter: Waiter<Permit>, error: MarigoldpostError): void {
    const index = this.waiters.indexOf(waiter);
    if (index < 0) return;
    this.waiters.splice(index, 1);
    waiter.granted.reject(error);
  }

  private createRefusal(): MarigoldpostError {
    const retryAfterMs = this.options.getRetryAfterMs() || defaultRetryMs;
    const message = `limit "${this.options.limit}" is reached`;
    return MarigoldpostError.create('limit_reached', message, {retryAfterMs});
  }

  private createCancelled(): MarigoldpostError {
    const message = `caller gave up waiting for limit "${this.options.limit}"`;
    const outcome = 'not_run';
    return MarigoldpostError.create('cancelled', message, {outcome});
  }
}
