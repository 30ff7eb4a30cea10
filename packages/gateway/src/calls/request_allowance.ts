/** Share of one request body in the memory for request bodies. */
import type {RequestMemory} from './request_memory.js';

/** Counts the bytes of one body until its call ends. */
export class RequestAllowance {
  private held = 0;

  private constructor(private readonly memory: RequestMemory) {}

  /**
   * Creates an allowance that holds nothing.
   * @param memory - Memory of all request bodies.
   */
  static create(memory: RequestMemory): RequestAllowance {
    return new RequestAllowance(memory);
  }

  /** Bytes that the body occupies. */
  get heldBytes(): number {
    return this.held;
  }

  /**
   * Holds room for a body of a size; throws `overloaded` if there is none.
   * @param bytes - Bytes of the body so far, or all that it announces.
   */
  grow(bytes: number): void {
    if (bytes <= this.held) return;
    this.memory.change(this.held, bytes);
    this.held = bytes;
  }

  /** Gives back all that it holds. */
  release(): void {
    this.memory.change(this.held, 0);
    this.held = 0;
  }
}
