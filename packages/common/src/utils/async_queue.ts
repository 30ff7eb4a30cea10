/** A queue whose reader waits asynchronously for items. */
import {Deferred} from './deferred.js';

/** Unbounded queue; a single reader consumes it as an async iterable. */
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
   * Enqueues an item.
   * @param item - Discarded when the queue has ended.
   */
  add(item: Item): void {
    if (this.isEnded) return;
    this.items.push(item);
    this.notifyReader();
  }

  /**
   * Ends the queue; the reader still receives the items added before.
   * @param error - Thrown to the reader after the last item.
   */
  end(error?: Error): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.failure = error;
    this.notifyReader();
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

  private notifyReader(): void {
    this.waiting?.resolve();
    this.waiting = undefined;
  }
}
