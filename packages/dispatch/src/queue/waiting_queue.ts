/**
 * Order of the requests that wait for a target.
 *
 * Load pattern: more requests than slots for some seconds. The more urgent kind
 * goes first, since engines admit in order of arrival; within a kind, programs
 * that can still be on time go by how little time they have left, and those
 * that cannot come after them.
 */

/** What the order depends on. */
export interface WaitingItem {
  /** Rank of the route; 0 is the most urgent. */
  readonly priority: number;
  /** When its program should be finished; infinite without such a wish. */
  readonly finishByMs: number;
  readonly arrivedAtMs: number;
}

/** Waiting requests; a short list, so a scan finds the next one. */
export class WaitingQueue<Item extends WaitingItem> {
  private readonly items = new Set<Item>();

  private constructor() {}

  /** Creates an empty queue. */
  static create<Item extends WaitingItem>(): WaitingQueue<Item> {
    return new WaitingQueue<Item>();
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.items.size;
  }

  /**
   * Adds a request.
   * @param item - The request.
   */
  add(item: Item): void {
    this.items.add(item);
  }

  /**
   * Removes a request; false when it does not wait.
   * @param item - The request.
   */
  remove(item: Item): boolean {
    return this.items.delete(item);
  }

  /**
   * Gets the requests in the order in which they are to be served.
   * @param nowMs - Time of the daemon's clock.
   */
  getOrdered(nowMs: number): Item[] {
    return [...this.items].toSorted((left, right) =>
      compareItems(left, right, nowMs),
    );
  }

  /**
   * Counts the requests that would be served before another.
   * @param item - The other request.
   * @param nowMs - Time of the daemon's clock.
   */
  countAhead(item: WaitingItem, nowMs: number): number {
    let ahead = 0;
    for (const other of this.items) {
      if (compareItems(other, item, nowMs) < 0) ahead += 1;
    }
    return ahead;
  }
}

function compareItems(
  left: WaitingItem,
  right: WaitingItem,
  nowMs: number,
): number {
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
