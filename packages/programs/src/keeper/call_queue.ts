/** Order of one program's calls. */
import {Deferred} from '@marigoldpost/common';

/** A place in the order. */
export interface CallPlace {
  /** Resolved when every earlier place has been left. */
  readonly reached: Promise<void>;
  /** Leaves the place, so that the next one is reached. */
  leave(): void;
}

interface Waiter {
  readonly reached: Deferred<void>;
}

/** Lets one call at a time run, in the order of admission. */
export class CallQueue {
  private readonly waiters: Waiter[] = [];

  private constructor() {}

  /** Creates an empty queue. */
  static create(): CallQueue {
    return new CallQueue();
  }

  /** Number of calls that run or wait. */
  get size(): number {
    return this.waiters.length;
  }

  /** Adds a call at the end. */
  addPlace(): CallPlace {
    const waiter: Waiter = {reached: Deferred.create<void>()};
    this.waiters.push(waiter);
    this.notifyFirst();
    return {
      reached: waiter.reached.promise,
      leave: () => this.remove(waiter),
    };
  }

  private remove(waiter: Waiter): void {
    const index = this.waiters.indexOf(waiter);
    if (index < 0) return;
    this.waiters.splice(index, 1);
    this.notifyFirst();
  }

  private notifyFirst(): void {
    this.waiters[0]?.reached.resolve();
  }
}
