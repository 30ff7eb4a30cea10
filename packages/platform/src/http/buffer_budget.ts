/** Bounds the memory that unread responses of all channels occupy. */
import {totalmem} from 'node:os';

/** Share of the machine's memory that unread responses may use. */
const defaultShare = 0.15;

/** Bytes that several buffers may hold together. */
export class BufferBudget {
  /** Budget of all channels that are created without one. */
  static readonly ofProcess = BufferBudget.create(totalmem() * defaultShare);
  private held = 0;
  private mostHeld = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Creates a budget that is not used yet.
   * @param maxBytes - Most bytes of all buffers together.
   */
  static create(maxBytes: number): BufferBudget {
    return new BufferBudget(maxBytes);
  }

  /** Most bytes that were held at a time. */
  get peakBytes(): number {
    return this.mostHeld;
  }

  /**
   * Takes bytes; false if there are too few left.
   * @param bytes - Bytes that a buffer is about to hold.
   */
  take(bytes: number): boolean {
    if (this.held + bytes > this.maxBytes) return false;
    this.held += bytes;
    this.mostHeld = Math.max(this.mostHeld, this.held);
    return true;
  }

  /**
   * Gives bytes back.
   * @param bytes - Bytes that a buffer no longer holds.
   */
  give(bytes: number): void {
    this.held -= bytes;
  }
}
