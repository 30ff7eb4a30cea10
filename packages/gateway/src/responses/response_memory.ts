/**
 * Bounds the memory that responses of targets occupy. Load pattern: faulty
 * targets send bytes without end, in many responses at a time.
 */

/**
 * Share of the memory that one response may use. The limit of request bodies
 * does not bound responses: a change of it must not truncate them.
 */
const maxResponseShare = 1 / 8;

/** Memory of all responses of a process. */
export class ResponseMemory {
  private held = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Creates a memory that holds nothing.
   * @param maxBytes - Most bytes of all responses together.
   */
  static create(maxBytes: number): ResponseMemory {
    return new ResponseMemory(maxBytes);
  }

  /** Bytes that responses occupy. */
  get heldBytes(): number {
    return this.held;
  }

  /** Creates the allowance of one response. */
  createAllowance(): ResponseAllowance {
    const maxBytes = this.maxBytes * maxResponseShare;
    return new ResponseAllowance(maxBytes, (change) => this.change(change));
  }

  private change(bytes: number): boolean {
    if (bytes > 0 && this.held + bytes > this.maxBytes) return false;
    this.held += bytes;
    return true;
  }
}

/** Memory of one response. */
export class ResponseAllowance {
  private held = 0;

  /**
   * Creates an allowance; `ResponseMemory` does so.
   * @param maxBytes - Most bytes of the response.
   * @param change - Changes the bytes of the process; false if it is full.
   */
  constructor(
    readonly maxBytes: number,
    private readonly change: (bytes: number) => boolean,
  ) {}

  /**
   * Sets the bytes that the response occupies; false if there is no room.
   * @param bytes - Bytes that are kept in memory.
   */
  hold(bytes: number): boolean {
    if (bytes > this.maxBytes || !this.change(bytes - this.held)) return false;
    this.held = bytes;
    return true;
  }

  /** Gives back the bytes of the response. */
  release(): void {
    this.change(-this.held);
    this.held = 0;
  }
}
