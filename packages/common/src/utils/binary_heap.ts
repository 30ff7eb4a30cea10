/** A binary min-heap. */

/** Priority queue ordered by a comparison function. */
export class BinaryHeap<Item> {
  private readonly items: Item[] = [];

  private constructor(
    private readonly compare: (left: Item, right: Item) => number,
  ) {}

  /**
   * Creates an empty heap.
   * @param compare - Negative when `left` is removed before `right`.
   */
  static create<Item>(
    compare: (left: Item, right: Item) => number,
  ): BinaryHeap<Item> {
    return new BinaryHeap(compare);
  }

  /** Number of elements. */
  get size(): number {
    return this.items.length;
  }

  /** Gets the least element without removing it. */
  peek(): Item | undefined {
    return this.items[0];
  }

  /**
   * Adds an element in O(log n).
   * @param item - Its order must not change while it is in the heap.
   */
  add(item: Item): void {
    this.items.push(item);
    let index = this.items.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.compareAt(index, parent) >= 0) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  /** Removes and returns the least element; undefined when empty. */
  remove(): Item | undefined {
    const first = this.items[0];
    const last = this.items.pop();
    if (this.items.length === 0 || last === undefined) return first;
    this.items[0] = last;
    this.siftDown();
    return first;
  }

  private siftDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (left < this.size && this.compareAt(left, least) < 0) least = left;
      if (right < this.size && this.compareAt(right, least) < 0) least = right;
      if (least === index) return;
      this.swap(index, least);
      index = least;
    }
  }

  private compareAt(left: number, right: number): number {
    return this.compare(this.items[left] as Item, this.items[right] as Item);
  }

  private swap(left: number, right: number): void {
    const item = this.items[left] as Item;
    this.items[left] = this.items[right] as Item;
    this.items[right] = item;
  }
}
