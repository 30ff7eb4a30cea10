/**
 * Bounds the memory that the bodies of clients' requests occupy together. A
 * body that finds no room is rejected, not held: its client can go to another
 * entry VM. The limit of each body does not bound their sum.
 */
import {MarigoldpostError} from '@marigoldpost/common';

/** Retry-After for a request that finds no room; bodies are held for seconds. */
const fullRetryAfterMs = 150;

/** Memory of all request bodies of a process. */
export class RequestMemory {
  private held = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Creates a memory that holds nothing.
   * @param maxBytes - Most bytes of all request bodies together.
   */
  static create(maxBytes: number): RequestMemory {
    return new RequestMemory(maxBytes);
  }

  /** Bytes that request bodies occupy. */
  get heldBytes(): number {
    return this.held;
  }

  /**
   * Changes what one body holds; throws `overloaded`, and changes nothing, if
   * there is no room for it.
   * @param fromBytes - Bytes that it holds.
   * @param toBytes - Bytes that it needs.
   */
  change(fromBytes: number, toBytes: number): void {
    const total = this.held - fromBytes + toBytes;
    if (toBytes > fromBytes && total > this.maxBytes) {
      const message = 'the memory for request bodies is full';
      const retryAfterMs = fullRetryAfterMs;
      throw MarigoldpostError.create('overloaded', message, {retryAfterMs});
    }
    this.held = total;
  }
}
