/**
 * Queue of the requests that wait for a target.
 *
 * Load pattern: more requests than slots for some seconds. Engines admit in
 * order of arrival, so requests are ordered here, by the priority of the tenant,
 * then by that of the route. Within a priority, programs that can still be on time go first, by the earliest due
 * time; programs that are already late follow.
 */

/** Properties of a request that determine its position in the queue. */
export interface QueueItem {
  /** Priority of the tenant; 0, the most urgent, if it has none. */
  readonly tenantPriority?: number | undefined;
  /** Priority of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Due time of the program; infinite if it has none. */
  readonly finishByMs: number;
  readonly arrivedAtMs: number;
}

/** Unsorted queue; it stays short, so it is sorted on each read. */
export class RequestQueue<Item extends QueueItem> {
  private readonly items = new Set<Item>();

  private constructor() {}

  /** Creates an empty queue. */
  static create<Item extends QueueItem>(): RequestQueue<Item> {
    return new RequestQueue<Item>();
  }

  /** Number of queued requests. */
  get size(): number {
    return this.items.size;
  }

  /** Gets the requests in any order. */
  [Symbol.iterator](): IterableIterator<Item> {
    return this.items.values();
  }

  /**
   * Adds a request.
   * @param item - Request to enqueue.
   */
  add(item: Item): void {
    this.items.add(item);
  }

  /**
   * Removes a request; false if it is not queued.
   * @param item - Request to remove.
   */
  remove(item: Item): boolean {
    return this.items.delete(item);
  }

  /**
   * Gets the requests in the order in which they are to be served.
   * @param nowMs - Time on the daemon's clock; decides which are late.
   */
  getOrdered(nowMs: number): Item[] {
    return [...this.items].toSorted((left, right) =>
      compareItems(left, right, nowMs),
    );
  }

  /**
   * Counts the queued requests that would be served before another one.
   * @param item - Request to compare with; it need not be queued.
   * @param nowMs - Time on the daemon's clock; decides which are late.
   */
  countAhead(item: QueueItem, nowMs: number): number {
    let ahead = 0;
    for (const other of this.items) {
      if (compareItems(other, item, nowMs) < 0) ahead += 1;
    }
    return ahead;
  }
}

function compareItems(
  left: QueueItem,
  right: QueueItem,
  nowMs: number,
): number {
  const byTenant = (left.tenantPriority ?? 0) - (right.tenantPriority ?? 0);
  if (byTenant !== 0) return byTenant;
  const byPriority = left.priority - right.priority;
  if (byPriority !== 0) return byPriority;
  const isLeftLate = left.finishByMs < nowMs;
  const isRightLate = right.finishByMs < nowMs;
  if (isLeftLate !== isRightLate) return isLeftLate ? 1 : -1;
  if (left.finishByMs !== right.finishByMs) {
    return left.finishByMs - right.finishByMs;
  }
  return left.arrivedAtMs - right.arrivedAtMs;
}
