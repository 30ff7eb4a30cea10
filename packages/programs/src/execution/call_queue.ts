/** FIFO queue that serializes the calls of one program. */
import {Deferred} from '@marigoldpost/common';

/** Entry of one call in the queue. */
export interface QueueEntry {
  /** Resolved when all earlier entries have been removed. */
  readonly headReached: Promise<void>;
  /** Removes the entry, so that the next call can run; idempotent. */
  remove(): void;
}

interface Waiter {
  readonly headReached: Deferred<void>;
}

/** Runs one call at a time, in order of admission. */
export class CallQueue {
  private readonly waiters: Waiter[] = [];

  private constructor() {}

  /** Creates a queue without calls. */
  static create(): CallQueue {
    return new CallQueue();
  }

  /** Number of calls in the queue, the running one included. */
  get size(): number {
    return this.waiters.length;
  }

  /** Adds a call at the end of the queue. */
  enqueue(): QueueEntry {
    const waiter: Waiter = {headReached: Deferred.create<void>()};
    this.waiters.push(waiter);
    this.notifyHead();
    return {
      headReached: waiter.headReached.promise,
      remove: () => this.remove(waiter),
    };
  }

  private remove(waiter: Waiter): void {
    const index = this.waiters.indexOf(waiter);
    if (index < 0) return;
    this.waiters.splice(index, 1);
    this.notifyHead();
  }

  private notifyHead(): void {
    this.waiters[0]?.headReached.resolve();
  }
}
