/** A doubly linked list whose nodes can leave from the middle. */

/** Node of a list; the list alone changes its links. */
export interface ListNode {
  previous: ListNode | undefined;
  next: ListNode | undefined;
}

/**
 * List in order of addition. A `Map` keeps that order too, but finding its first
 * key scans the places of all that were deleted before it.
 */
export class LinkedList<Node extends ListNode> {
  private readonly anchor: ListNode;
  private count = 0;

  private constructor() {
    this.anchor = {previous: undefined, next: undefined};
    this.anchor.previous = this.anchor;
    this.anchor.next = this.anchor;
  }

  /** Creates an empty list. */
  static create<Node extends ListNode>(): LinkedList<Node> {
    return new LinkedList<Node>();
  }

  /** Number of nodes. */
  get size(): number {
    return this.count;
  }

  /** The node that was added first. */
  get first(): Node | undefined {
    const {next} = this.anchor;
    return next === this.anchor ? undefined : (next as Node);
  }

  /**
   * Adds a node at the end.
   * @param node - A node of no list.
   */
  add(node: Node): void {
    const {anchor} = this;
    node.previous = anchor.previous;
    node.next = anchor;
    if (anchor.previous !== undefined) anchor.previous.next = node;
    anchor.previous = node;
    this.count += 1;
  }

  /**
   * Removes a node of this list.
   * @param node - The node.
   */
  remove(node: Node): void {
    if (node.previous !== undefined) node.previous.next = node.next;
    if (node.next !== undefined) node.next.previous = node.previous;
    node.previous = undefined;
    node.next = undefined;
    this.count -= 1;
  }
}
