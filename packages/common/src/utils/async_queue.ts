/** A queue whose reader waits for the writer. */
import {Deferred} from './deferred.js';

/** Unbounded queue read as an async iterable by one reader. */
export class AsyncQueue<Item> implements AsyncIterable<Item> {
  private readonly items: Item[] = [];
  private waiting: Deferred<void> | undefined;
  private isEnded = false;
  private failure: Error | undefined;

  private constructor() {}

  /** Creates an empty queue. */
  static create<Item>(): AsyncQueue<Item> {
    return new AsyncQueue<Item>();
  }

  /** Number of items not yet read. */
  get size(): number {
    return this.items.length;
  }

  /**
   * Adds an item; ignored after the end.
   * @param item - The item.
   */
  add(item: Item): void {
    if (this.isEnded) return;
    this.items.push(item);
    this.wake();
  }

  /**
   * Ends the queue; the reader still gets what was added before.
   * @param error - Thrown to the reader at the end.
   */
  end(error?: Error): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.failure = error;
    this.wake();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<Item> {
    for (;;) {
      while (this.items.length > 0) yield this.items.shift() as Item;
      if (this.isEnded) break;
      this.waiting = Deferred.create<void>();
      await this.waiting.promise;
    }
    if (this.failure !== undefined) throw this.failure;
  }

  private wake(): void {
    this.waiting?.resolve();
    this.waiting = undefined;
  }
}
