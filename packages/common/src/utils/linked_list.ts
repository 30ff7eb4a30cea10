/** An intrusive doubly linked list with removal in constant time. */

/** Links of a node; only the list may change them. */
export interface ListNode {
  previous: ListNode | undefined;
  next: ListNode | undefined;
}

/**
 * List in insertion order. A `Map` keeps that order too, but finding its first
 * key scans the slots of all entries deleted before it.
 */
export class LinkedList<Node extends ListNode> {
  private readonly sentinel: ListNode;
  private count = 0;

  private constructor() {
    this.sentinel = {previous: undefined, next: undefined};
    this.sentinel.previous = this.sentinel;
    this.sentinel.next = this.sentinel;
  }

  /** Creates an empty list. */
  static create<Node extends ListNode>(): LinkedList<Node> {
    return new LinkedList<Node>();
  }

  /** Number of nodes. */
  get size(): number {
    return this.count;
  }

  /** The oldest node; undefined when the list is empty. */
  get first(): Node | undefined {
    const {next} = this.sentinel;
    return next === this.sentinel ? undefined : (next as Node);
  }

  /**
   * Appends a node.
   * @param node - Must not be in any list.
   */
  add(node: Node): void {
    const {sentinel} = this;
    node.previous = sentinel.previous;
    node.next = sentinel;
    if (sentinel.previous !== undefined) sentinel.previous.next = node;
    sentinel.previous = node;
    this.count += 1;
  }

  /**
   * Removes a node.
   * @param node - Must be in this list.
   */
  remove(node: Node): void {
    if (node.previous !== undefined) node.previous.next = node.next;
    if (node.next !== undefined) node.next.previous = node.previous;
    node.previous = undefined;
    node.next = undefined;
    this.count -= 1;
  }
}
